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
	"os"
	"os/exec"
	"strings"
)

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	known := readKnown("KNOWN-RED.txt")
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
	passed, failed, red := 0, 0, 0
	failedTests := map[string]bool{}
	logs := map[string][]string{}
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			continue
		}
		id := e.Package + " " + e.Test
		switch {
		case e.Action == "output":
			logs[id] = append(logs[id], e.Output)
		case e.Action == "build-output" || e.Action == "build-fail":
			fmt.Print(e.Output)
		case e.Action == "pass" && e.Test != "":
			passed++
		case e.Action == "fail" && e.Test != "" && isKnown(known, e.Test):
			red++
			failedTests[e.Package] = true
			fmt.Printf("KNOWN RED %s\n", id)
		case e.Action == "fail" && (e.Test != "" || !failedTests[e.Package]):
			failed++
			failedTests[e.Package] = true
			fmt.Printf("FAIL %s\n%s", id, strings.Join(logs[id], ""))
		}
	}
	// The exit code is that of `go test`, which the known tests turn red.
	if err := cmd.Wait(); err != nil && failed == 0 && red == 0 {
		fmt.Println(err)
		failed++
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", passed, failed, red)
	if failed > 0 {
		os.Exit(1)
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
