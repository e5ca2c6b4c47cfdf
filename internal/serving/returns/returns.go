// Package returns tells how long a client has waited before this attempt.
//
// # Usage
//
//	var r returns.Tracker
//	waited := r.Waited("slot-sweep", left, now)
//
// A client states only how much longer it will wait. It answers this pattern:
// clients of one route all start with the same patience, and come back with what is
// left of it after a refusal or a failure. The longest patience seen lately on a
// route is taken as the one at the start; what an attempt lacks of it has passed.
// The time-out of the route does not serve: operators change it.
package returns

import (
	"sync"
	"time"
)

const (
	// windowLength is how long a patience is remembered at the least.
	windowLength = 10 * time.Second
	// tolerance is what an attempt may lack and still count as the first.
	tolerance = 10 * time.Millisecond
)

// window is the longest patience of a route in the present and the last span.
type window struct {
	start         time.Time
	present, last time.Duration
}

// Tracker remembers the patience of clients by route. The zero value is ready to
// use. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	routes map[string]*window
}

// Waited returns how long the client of an attempt has waited before, given how
// much longer it will wait; zero for a first attempt.
func (t *Tracker) Waited(route string, left time.Duration, now time.Time) time.Duration {
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
		w.start, w.last, w.present = now, w.present, 0
	}
	w.present = max(w.present, left)
	if waited := max(w.present, w.last) - left; waited > tolerance {
		return waited
	}
	return 0
}
