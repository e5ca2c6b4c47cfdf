package cmd

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/godwithatch/godwithatch/modules/blackboard"
)

type dumpCommand struct {
	Operator string `help:"Address of the daemon's listener for operators." default:"127.1.0.1:8081"`
}

// Run prints the sections of a daemon's blackboard.
func (c *dumpCommand) Run(o *output) error {
	var sections []blackboard.State
	if err := fetchJSON(c.Operator, "/debug/state", &sections); err != nil {
		return err
	}
	return o.printOutput(sections, func(w io.Writer) {
		for _, s := range sections {
			fmt.Fprintf(w, "%s (version %d, %.1f s old, from %s)\n", s.Name, s.Version, s.AgeSeconds, s.Source)
			value, _ := json.MarshalIndent(s.Value, "  ", "  ")
			fmt.Fprintf(w, "  %s\n", value)
		}
	})
}
