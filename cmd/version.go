package cmd

import (
	"fmt"
	"io"
	"runtime"
)

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(o *output) error {
	return o.printOutput(struct {
		Version string `json:"version"`
		Go      string `json:"go"`
	}{Version, runtime.Version()}, func(w io.Writer) {
		fmt.Fprintf(w, "godwithatch %s (%s)\n", Version, runtime.Version())
	})
}
