// Package returns estimates how long a client has already waited in attempts before the
// present one.
//
//	var r returns.Tracker
//	waited := r.Waited("slot-sweep", remaining, now)
//
// A client states only how much longer it will wait. All clients of a route start with
// the same waiting time and, after a refusal or a failure, retry with what remains of it.
// The longest remaining time seen recently on a route is therefore taken as the time at
// the start, and the difference to it as time already waited. The configured timeout of
// the route can't be used instead, because operators change it.
package returns

import (
	"sync"
	"time"
)

const (
	// windowLength is the least time for which a remaining time is remembered.
	windowLength = 10 * time.Second
	// tolerance is how far the remaining time of a first attempt may be below the
	// longest one.
	tolerance = 10 * time.Millisecond
)

// window holds the longest remaining time on a route in the current window and the
// previous one.
type window struct {
	start             time.Time
	current, previous time.Duration
}

// Tracker remembers the longest remaining time of clients by route. The zero value is
// ready to use. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	routes map[string]*window
}

// Waited returns how long a client has already waited in earlier attempts, given how much
// longer it will wait. It returns zero for a first attempt.
func (t *Tracker) Waited(route string, remaining time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = map[string]*window{}
	}
	w := t.routes[route]
	if w == nil {
		w = &window{start: now}
		t.routes[route] = w
	}
	if now.Sub(w.start) >= windowLength {
		w.start, w.previous, w.current = now, w.current, 0
	}
	w.current = max(w.current, remaining)
	if waited := max(w.current, w.previous) - remaining; waited > tolerance {
		return waited
	}
	return 0
}
