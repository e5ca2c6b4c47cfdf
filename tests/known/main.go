// Command known runs `go test` with the given arguments and passes over the
// tests that KNOWN-RED.txt lists, which it prints. Any other failure fails it.
//
// An entry of KNOWN-RED.txt is a line that starts with "test: " and the full
// name of a test; the lines after it tell the rest.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

func main() {
	cmd := exec.Command("go", append([]string{"test", "-json"}, os.Args[1:]...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	r := newReport(readKnown("KNOWN-RED.txt"), os.Stdout)
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) == nil {
			r.take(e)
		}
	}
	// The exit code is that of `go test`, which the known tests turn red.
	if err := cmd.Wait(); err != nil && r.failed == 0 && r.red == 0 {
		fmt.Println(err)
		r.failed++
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.red)
	if r.failed > 0 {
		os.Exit(1)
	}
}

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// report counts the ends of tests and prints what failed.
type report struct {
	known map[string]bool
	w     io.Writer

	passed, failed, red int
	failedPackages      map[string]bool
	logs                map[string]*strings.Builder
	running             map[string][]string
}

func newReport(known map[string]bool, w io.Writer) *report {
	return &report{known: known, w: w, failedPackages: map[string]bool{}, logs: map[string]*strings.Builder{}, running: map[string][]string{}}
}

func (r *report) take(e event) {
	id := e.Package + " " + e.Test
	switch e.Action {
	case "output":
		if r.logs[id] == nil {
			r.logs[id] = &strings.Builder{}
		}
		r.logs[id].WriteString(e.Output)
	case "build-output", "build-fail":
		fmt.Fprint(r.w, e.Output)
	case "run":
		r.running[e.Package] = append(r.running[e.Package], e.Test)
	case "pass", "skip":
		r.end(e)
		if e.Action == "pass" && e.Test != "" {
			r.passed++
		}
	case "fail":
		r.fail(e, id)
	}
}

func (r *report) end(e event) {
	kept := r.running[e.Package][:0]
	for _, test := range r.running[e.Package] {
		if test != e.Test {
			kept = append(kept, test)
		}
	}
	r.running[e.Package] = kept
}

func (r *report) fail(e event, id string) {
	r.end(e)
	switch {
	case e.Test != "" && isKnown(r.known, e.Test):
		r.red++
		r.failedPackages[e.Package] = true
		fmt.Fprintf(r.w, "KNOWN RED %s\n", id)
	case e.Test != "":
		r.failed++
		r.failedPackages[e.Package] = true
		fmt.Fprintf(r.w, "FAIL %s\n%s", id, r.logs[id])
	case len(r.running[e.Package]) > 0:
		// The process of the package ended before its tests did, so the reason
		// stands in what they printed.
		r.failed++
		fmt.Fprintf(r.w, "FAIL %sended while tests ran\n%s", id, r.logs[id])
		for _, test := range r.running[e.Package] {
			fmt.Fprintf(r.w, "RUNNING %s\n%s", test, r.logs[e.Package+" "+test])
		}
	case !r.failedPackages[e.Package]:
		r.failed++
		fmt.Fprintf(r.w, "FAIL %s\n%s", id, r.logs[id])
	}
}

// isKnown reports whether a test or the test that it is part of is listed.
func isKnown(known map[string]bool, test string) bool {
	top, _, _ := strings.Cut(test, "/")
	return known[test] || known[top]
}

func readKnown(path string) map[string]bool {
	known := map[string]bool{}
	text, err := os.ReadFile(path)
	if err != nil {
		return known
	}
	for _, line := range strings.Split(string(text), "\n") {
		if name, ok := strings.CutPrefix(line, "test: "); ok {
			known[strings.TrimSpace(name)] = true
		}
	}
	return known
}
