package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/godwithatch/godwithatch/services/daemon"
)

const operatorTimeout = 5 * time.Second

type statusCommand struct {
	Operator string `help:"Address of the daemon's listener for operators." default:"127.1.0.1:8081"`
}

// Run prints the status of a daemon.
func (c *statusCommand) Run(o *output) error {
	var s daemon.Status
	if err := fetchJSON(c.Operator, "/status", &s); err != nil {
		return err
	}
	return o.printOutput(s, func(w io.Writer) {
		fmt.Fprintf(w, "host        %s in %s\n", s.Host, s.DataCentre)
		fmt.Fprintf(w, "ready       %v %s\n", s.Readiness.Ready, strings.Join(s.Readiness.Reasons, "; "))
		fmt.Fprintf(w, "generation  %d\n", s.Generation)
		fmt.Fprintf(w, "hosts       %s\n", strings.Join(s.Hosts, " "))
		fmt.Fprintf(w, "in flight   %d\n", s.InFlight)
		for pool, snapshot := range s.Snapshots {
			fmt.Fprintf(w, "pool        %s snapshot %d\n", pool, snapshot)
		}
		for _, m := range s.Moves {
			fmt.Fprintf(w, "move        %s: %s, share %.2f %s\n", m.Move, m.State, m.Share, m.Reason)
		}
		for _, p := range s.Tables.Problems {
			fmt.Fprintf(w, "problem     %s\n", p.Error())
		}
	})
}

// fetchJSON requests a path from a daemon's listener for operators and decodes the JSON
// answer.
func fetchJSON(address, path string, into any) error {
	client := http.Client{Timeout: operatorTimeout}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return errUnreachable.Wrap(err)
	}
	defer resp.Body.Close()
	return errUnreachable.Wrap(json.NewDecoder(resp.Body).Decode(into))
}
