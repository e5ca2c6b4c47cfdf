package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// report counts the injected faults, the checks and the answers by status, and lists the
// failed checks. It is safe for concurrent use.
type report struct {
	// activeFaults is the wait group of the faults that run in their own goroutines.
	activeFaults sync.WaitGroup

	mu         sync.Mutex
	faults     map[string]int
	checks     map[string]int
	violations []string
	requests   map[string]*callerRequest
	statuses   map[int]int
	counter    int
}

func newReport() *report {
	return &report{faults: map[string]int{}, checks: map[string]int{}, requests: map[string]*callerRequest{}, statuses: map[int]int{}}
}

func (r *report) nextID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	return r.counter
}

func (r *report) countFault(fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[fault]++
}

func (r *report) check(name string, holds bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks[name]++
	if !holds {
		r.violations = append(r.violations, name+": "+fmt.Sprintf(format, args...))
	}
}

func (r *report) fail(format string, args ...any) { r.check("the run itself", false, format, args...) }

func (r *report) addRequest(a *callerRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[a.id] = a
}

func (r *report) countStatus(a *callerRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[a.status]++
}

// wasSent reports whether a caller sent the request that a server ran. run consists of
// the request's identity, a space and the path.
func (r *report) wasSent(run string) bool {
	id, target, _ := strings.Cut(run, " ")
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.requests[id]
	return a != nil && target == "/"+a.route+"/x"
}

// checkExecutions checks how often the servers ran each non-idempotent request: at most
// once, and never if its caller was told that it has not run.
func (r *report) checkExecutions(runs map[string]int) {
	for id, a := range r.requests {
		if a.route != "desk" {
			continue
		}
		r.check("what is not idempotent runs at most once", runs[id] <= 1, "%s ran %d times", id, runs[id])
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			r.check("what is refused as not run has not run", runs[id] == 0, "%s got %d and ran", id, a.status)
		}
	}
}

func (r *report) hasViolations() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.violations) > 0
}

// text returns the report in readable form.
func (r *report) text(seed uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests, by status %v\n", seed, len(r.requests), r.statuses)
	for _, name := range slices.Sorted(maps.Keys(r.faults)) {
		fmt.Fprintf(&b, "  tried %3d  %s\n", r.faults[name], name)
	}
	for _, name := range slices.Sorted(maps.Keys(r.checks)) {
		fmt.Fprintf(&b, "  checked %6d  %s\n", r.checks[name], name)
	}
	for i, text := range r.violations {
		if i == 20 {
			fmt.Fprintf(&b, "  BROKEN %d more\n", len(r.violations)-i)
			break
		}
		fmt.Fprintf(&b, "  BROKEN %s\n", text)
	}
	return b.String()
}
