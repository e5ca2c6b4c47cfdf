package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type queryCommand struct {
	Route   string        `arg:"" help:"Name of the route."`
	Body    string        `arg:"" optional:"" help:"The query, a JSON value." default:"{}"`
	Caller  string        `help:"Address of a daemon's listener for callers." default:"127.1.0.1:8080"`
	Timeout time.Duration `help:"Timeout of the query; the default is the route's."`
	Key     string        `help:"Idempotency key, for a route that is not idempotent."`
}

// Run sends one query and prints the answer or the problem.
func (c *queryCommand) Run(o *output) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Caller+"/v1/routes/"+c.Route+"/query", strings.NewReader(c.Body))
	if err != nil {
		return errUnreachable.Wrap(err)
	}
	if c.Timeout > 0 {
		req.Header.Set("Request-Timeout", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	}
	if c.Key != "" {
		req.Header.Set("Idempotency-Key", c.Key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errUnreachable.Wrap(err)
	}
	defer resp.Body.Close()
	return c.printResponse(o, resp)
}

// printResponse prints the answer or the problem. If it is a problem, printResponse
// returns an error of the class errFound.
func (c *queryCommand) printResponse(o *output, resp *http.Response) error {
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return errUnreachable.Wrap(err)
	}
	var answer struct {
		Type     string `json:"type"`
		Detail   string `json:"detail"`
		Outcome  string `json:"outcome"`
		Snapshot uint64 `json:"snapshot"`
		Coverage struct {
			Answered int `json:"answered"`
			Total    int `json:"total"`
		} `json:"coverage"`
		Results json.RawMessage `json:"results"`
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return errUnreachable.Wrap(err)
	}
	err = o.printOutput(json.RawMessage(content), func(w io.Writer) {
		if resp.StatusCode != http.StatusOK {
			fmt.Fprintf(w, "refused   %s\noutcome   %s\n%s\n", answer.Type, answer.Outcome, answer.Detail)
			return
		}
		fmt.Fprintf(w, "snapshot  %d\ncoverage  %d of %d\n%s\n", answer.Snapshot, answer.Coverage.Answered, answer.Coverage.Total, answer.Results)
	})
	if err == nil && resp.StatusCode != http.StatusOK {
		return errFound.New("%d", resp.StatusCode)
	}
	return err
}
