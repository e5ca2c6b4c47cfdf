// Package gate holds back the calls to a store that does not answer until one cheap
// call succeeds.
//
// # Usage
//
//	g := gate.New()
//	go func() {
//		for g.Next(ctx, interval) {
//			g.Observe(readStale(ctx))
//		}
//	}()
//	waited, err := g.Wait(ctx)
//	g.Observe(list())
//
// It answers this pattern: the store is away for seconds, several followers of one
// host each repeat their calls, and refused calls are priced like served ones.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	// firstPause and lastPause bound the time between two tries. A host that has no
	// configuration yet can serve nobody until the store is back, and a try costs a
	// tenth of a call.
	firstPause = 200 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// Gate is open while calls succeed. It is safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// isShut tells whether the last call failed; turned is closed when that changes.
	isShut bool
	turned chan struct{}
	// shuts counts how often the gate was shut.
	shuts int
	// pause is the time before the next try.
	pause time.Duration
}

// New returns an open Gate.
func New() *Gate { return &Gate{turned: make(chan struct{})} }

// IsShut reports whether the last call failed.
func (g *Gate) IsShut() bool {
	isShut, _ := g.state()
	return isShut
}

// Shuts returns how often the gate was shut: a call that began before and ended after
// one of these spans a time in which the store was away.
func (g *Gate) Shuts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shuts
}

func (g *Gate) state() (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isShut, g.turned
}

// Observe records how a call ended.
func (g *Gate) Observe(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isShut := err != nil
	if isShut != g.isShut {
		g.isShut, g.pause = isShut, 0
		if isShut {
			g.shuts++
		}
		close(g.turned)
		g.turned = make(chan struct{})
	}
}

// Wait returns once the gate is open, and reports whether it was shut. It returns the
// error of ctx if that ends before.
func (g *Gate) Wait(ctx context.Context) (bool, error) {
	for waited := false; ; waited = true {
		isShut, turned := g.state()
		if !isShut {
			return waited, ctx.Err()
		}
		select {
		case <-turned:
		case <-ctx.Done():
			return true, ctx.Err()
		}
	}
}

// Next waits for the time of the next cheap call: an interval while the gate is open,
// and pauses that grow while it is shut. It reports false at the end of ctx.
func (g *Gate) Next(ctx context.Context, interval time.Duration) bool {
	isShut, turned := g.state()
	if !isShut {
		timer := pause.NewAlarm(interval)
		defer timer.Stop()
		select {
		case <-timer.C():
			return true
		case <-turned:
		case <-ctx.Done():
			return false
		}
	}
	g.mu.Lock()
	g.pause = min(max(2*g.pause, firstPause), lastPause)
	wait := g.pause
	g.mu.Unlock()
	return pause.For(ctx, wait)
}
