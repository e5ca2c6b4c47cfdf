package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// report counts what was tried and checked. It is safe for concurrent use.
type report struct {
	// running are the faults under way.
	running sync.WaitGroup

	mu       sync.Mutex
	faults   map[string]int
	checks   map[string]int
	broken   []string
	requests map[string]*attempt
	statuses map[int]int
	counter  int
}

func newReport() *report {
	return &report{faults: map[string]int{}, checks: map[string]int{}, requests: map[string]*attempt{}, statuses: map[int]int{}}
}

func (r *report) next() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	return r.counter
}

func (r *report) tried(fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[fault]++
}

func (r *report) check(promise string, holds bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks[promise]++
	if !holds {
		r.broken = append(r.broken, promise+": "+fmt.Sprintf(format, args...))
	}
}

func (r *report) fail(format string, args ...any) { r.check("the run itself", false, format, args...) }

func (r *report) sent(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[a.id] = a
}

func (r *report) ended(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[a.status]++
}

// wasSent reports whether a caller sent what a server ran.
func (r *report) wasSent(run string) bool {
	id, target, _ := strings.Cut(run, " ")
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.requests[id]
	return a != nil && target == "/"+a.route+"/x"
}

// checkLedger checks what ran against what callers were told.
func (r *report) checkLedger(runs map[string]int) {
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

func (r *report) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken) > 0
}

// text returns the report for people.
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
	for i, text := range r.broken {
		if i == 20 {
			fmt.Fprintf(&b, "  BROKEN %d more\n", len(r.broken)-i)
			break
		}
		fmt.Fprintf(&b, "  BROKEN %s\n", text)
	}
	return b.String()
}
