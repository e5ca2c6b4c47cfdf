// Package returns estimates the time that a client has already spent on earlier attempts
// of a request.
//
//	var r returns.Tracker
//	waited := r.Waited("slot-sweep", remaining, now)
//
// A request states only the time for which its client will still wait for the answer (the
// remaining time). All clients of a route are willing to wait for the same time in total
// and, after a refusal or a failure, retry with what remains of it. The longest remaining
// time that recent requests of the route stated is therefore taken as the total. If a
// request states a shorter time, the difference is the time that its client has already
// waited. The configured timeout of the route can't be used as the total, because
// operators change it.
package returns

import (
	"sync"
	"time"
)

const (
	// windowLength is the minimum time for which the longest remaining time of the
	// clients of a route is remembered.
	windowLength = 10 * time.Second
	// firstAttemptTolerance is the amount by which the remaining time of a first attempt
	// may be shorter than the longest remaining time.
	firstAttemptTolerance = 10 * time.Millisecond
)

// longestRemaining holds the longest remaining time that requests of one route stated in
// the current window, which began at start and lasts at least windowLength, and in the
// window before it.
type longestRemaining struct {
	start             time.Time
	current, previous time.Duration
}

// Tracker remembers, for each route, the longest remaining time that recent requests
// stated. The zero value is ready to use. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	routes map[string]*longestRemaining
}

// Waited returns the time that a client has already waited in earlier attempts. remaining
// is the time for which the client will still wait. Waited returns zero for a first
// attempt.
func (t *Tracker) Waited(route string, remaining time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = map[string]*longestRemaining{}
	}
	w := t.routes[route]
	if w == nil {
		w = &longestRemaining{start: now}
		t.routes[route] = w
	}
	if now.Sub(w.start) >= windowLength {
		w.start, w.previous, w.current = now, w.current, 0
	}
	w.current = max(w.current, remaining)
	if waited := max(w.current, w.previous) - remaining; waited > firstAttemptTolerance {
		return waited
	}
	return 0
}
