package main

import (
	"strings"
	"testing"
)

func play(known map[string]bool, events ...event) (*report, string) {
	var out strings.Builder
	r := newReport(known, &out)
	for _, e := range events {
		r.take(e)
	}
	return r, out.String()
}

// A package whose process crashed printed nothing of the reason.
func TestCrashPrintsWhatTheRunningTestsSaid(t *testing.T) {
	r, out := play(map[string]bool{"TestRed": true},
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

// A crash after a known failure is a failure of its own.
func TestCrashAfterKnownRedFails(t *testing.T) {
	r, _ := play(map[string]bool{"TestRed": true},
		event{Action: "run", Package: "p", Test: "TestRed"},
		event{Action: "fail", Package: "p", Test: "TestRed"},
		event{Action: "run", Package: "p", Test: "TestOther"},
		event{Action: "fail", Package: "p"},
	)
	if r.failed != 1 || r.red != 1 {
		t.Fatalf("%d failed, %d red", r.failed, r.red)
	}
}

func TestKnownRedAlonePasses(t *testing.T) {
	r, out := play(map[string]bool{"TestRed": true},
		event{Action: "run", Package: "p", Test: "TestRed"},
		event{Action: "run", Package: "p", Test: "TestRed/a"},
		event{Action: "fail", Package: "p", Test: "TestRed/a"},
		event{Action: "fail", Package: "p", Test: "TestRed"},
		event{Action: "fail", Package: "p"},
	)
	if r.failed != 0 || r.red != 2 || !strings.Contains(out, "KNOWN RED") {
		t.Fatalf("%d failed, %d red, printed %q", r.failed, r.red, out)
	}
}
