package main

import (
	"strings"
	"testing"
)

func handleEvents(knownFailures map[string]bool, events ...event) (*report, string) {
	var out strings.Builder
	r := newReport(knownFailures, &out)
	for _, e := range events {
		r.handle(e)
	}
	return r, out.String()
}

// If the test process of a package crashes, `go test` attributes the stack trace to the
// test that was running, not to the package. The report must print the stack trace.
func TestCrashPrintsOutputOfRunningTests(t *testing.T) {
	r, out := handleEvents(map[string]bool{"TestRed": true},
		event{Action: "run", Package: "p", Test: "TestGood"},
		event{Action: "pass", Package: "p", Test: "TestGood"},
		event{Action: "run", Package: "p", Test: "TestRed"},
		event{Action: "output", Package: "p", Test: "TestRed", Output: "fatal error: SIGSEGV\n"},
		event{Action: "fail", Package: "p"},
	)
	if r.failed != 1 || r.passed != 1 || !strings.Contains(out, "SIGSEGV") {
		t.Fatalf("%d failed, %d passed, printed %q", r.failed, r.passed, out)
	}
}

// If the test process crashes after a known test has failed, the crash must count as a
// failure, although the known test has already made the package fail.
func TestCrashAfterKnownFailureCountsAsFailure(t *testing.T) {
	r, _ := handleEvents(map[string]bool{"TestRed": true},
		event{Action: "run", Package: "p", Test: "TestRed"},
		event{Action: "fail", Package: "p", Test: "TestRed"},
		event{Action: "run", Package: "p", Test: "TestOther"},
		event{Action: "fail", Package: "p"},
	)
	if r.failed != 1 || r.knownFailed != 1 {
		t.Fatalf("%d failed, %d known failures", r.failed, r.knownFailed)
	}
}

func TestKnownFailureDoesNotFailPackage(t *testing.T) {
	r, out := handleEvents(map[string]bool{"TestRed": true},
		event{Action: "run", Package: "p", Test: "TestRed"},
		event{Action: "run", Package: "p", Test: "TestRed/a"},
		event{Action: "fail", Package: "p", Test: "TestRed/a"},
		event{Action: "fail", Package: "p", Test: "TestRed"},
		event{Action: "fail", Package: "p"},
	)
	if r.failed != 0 || r.knownFailed != 2 || !strings.Contains(out, "KNOWN RED") {
		t.Fatalf("%d failed, %d known failures, printed %q", r.failed, r.knownFailed, out)
	}
}
