package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/godwithatch/godwithatch/internal/telemetry/requestlog"
)

type traceCommand struct {
	Request string   `arg:"" help:"Identity of the request."`
	Logs    []string `arg:"" optional:"" help:"Files with log lines of any hosts; standard input if there are none." type:"existingfile"`
}

// Run prints the log lines of one request from the given logs of any hosts, together with
// the log lines that show the state on which each host based its decisions. The lines are
// ordered by time.
func (c *traceCommand) Run(o *output) error {
	readers := []io.Reader{os.Stdin}
	if len(c.Logs) > 0 {
		readers = readers[:0]
	}
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	lines, err := requestlog.Read(c.Request, readers...)
	if err != nil {
		return err
	}
	err = o.printOutput(lines, func(w io.Writer) {
		for _, l := range lines {
			fmt.Fprint(w, l)
		}
	})
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errFound.New("no line of request %s", c.Request)
	}
	return nil
}
