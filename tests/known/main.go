// Command known runs `go test` with the given arguments. If a test that KNOWN-RED.txt
// lists fails, the command prints its name and ignores the failure. On any other
// failure it exits with status 1.
//
// An entry of KNOWN-RED.txt starts with a line of "test: " and the full name of a
// test. The command ignores the other lines of the entry, which describe the failure.
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
	r := newReport(readKnownFailures("KNOWN-RED.txt"), os.Stdout)
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) == nil {
			r.handle(e)
		}
	}
	// A failed known test makes `go test` exit with an error too. That error therefore
	// counts as a failure only if no test failed at all.
	if err := cmd.Wait(); err != nil && r.failed == 0 && r.knownFailed == 0 {
		fmt.Println(err)
		r.failed++
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.knownFailed)
	if r.failed > 0 {
		os.Exit(1)
	}
}

// event is one line of the output of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// report counts the results of the tests and prints the failed tests.
type report struct {
	knownFailures map[string]bool
	w             io.Writer

	passed, failed, knownFailed int
	failedPackages              map[string]bool
	outputs                     map[string]*strings.Builder
	running                     map[string][]string
}

func newReport(knownFailures map[string]bool, w io.Writer) *report {
	return &report{knownFailures: knownFailures, w: w, failedPackages: map[string]bool{}, outputs: map[string]*strings.Builder{}, running: map[string][]string{}}
}

func (r *report) handle(e event) {
	id := e.Package + " " + e.Test
	switch e.Action {
	case "output":
		if r.outputs[id] == nil {
			r.outputs[id] = &strings.Builder{}
		}
		r.outputs[id].WriteString(e.Output)
	case "build-output", "build-fail":
		fmt.Fprint(r.w, e.Output)
	case "run":
		r.running[e.Package] = append(r.running[e.Package], e.Test)
	case "pass", "skip":
		r.removeRunning(e)
		if e.Action == "pass" && e.Test != "" {
			r.passed++
		}
	case "fail":
		r.fail(e, id)
	}
}

func (r *report) removeRunning(e event) {
	stillRunning := r.running[e.Package][:0]
	for _, test := range r.running[e.Package] {
		if test != e.Test {
			stillRunning = append(stillRunning, test)
		}
	}
	r.running[e.Package] = stillRunning
}

func (r *report) fail(e event, id string) {
	r.removeRunning(e)
	switch {
	case e.Test != "" && isKnownFailure(r.knownFailures, e.Test):
		r.knownFailed++
		r.failedPackages[e.Package] = true
		fmt.Fprintf(r.w, "KNOWN RED %s\n", id)
	case e.Test != "":
		r.failed++
		r.failedPackages[e.Package] = true
		fmt.Fprintf(r.w, "FAIL %s\n%s", id, r.outputs[id])
	case len(r.running[e.Package]) > 0:
		// The test process of the package ended while tests were running. The cause is in
		// the output of these tests, not in the output of the package.
		r.failed++
		fmt.Fprintf(r.w, "FAIL %sended while tests ran\n%s", id, r.outputs[id])
		for _, test := range r.running[e.Package] {
			fmt.Fprintf(r.w, "RUNNING %s\n%s", test, r.outputs[e.Package+" "+test])
		}
	case !r.failedPackages[e.Package]:
		r.failed++
		fmt.Fprintf(r.w, "FAIL %s\n%s", id, r.outputs[id])
	}
}

// isKnownFailure reports whether KNOWN-RED.txt lists a test or the top-level test to
// which it belongs.
func isKnownFailure(knownFailures map[string]bool, test string) bool {
	top, _, _ := strings.Cut(test, "/")
	return knownFailures[test] || knownFailures[top]
}

func readKnownFailures(path string) map[string]bool {
	knownFailures := map[string]bool{}
	text, err := os.ReadFile(path)
	if err != nil {
		return knownFailures
	}
	for _, line := range strings.Split(string(text), "\n") {
		if name, ok := strings.CutPrefix(line, "test: "); ok {
			knownFailures[strings.TrimSpace(name)] = true
		}
	}
	return knownFailures
}
