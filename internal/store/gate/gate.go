// Package gate lets one caller at a time try a store that does not answer, while
// the others wait for its success.
//
// # Usage
//
//	g := gate.New(func(ctx context.Context) error { return readStale(ctx) })
//	waited, err := g.Do(ctx, func() error { return list() })
//
// It answers this pattern: the store is away for seconds, several followers of one
// host each repeat their calls, and refused calls are priced like served ones. So one
// of them tries, with a cheap call first.
package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	// firstPause and lastPause bound the time before a try. A configuration is due
	// within seconds of the store's return.
	firstPause = 250 * time.Millisecond
	lastPause  = time.Second
)

// Gate is open while calls succeed. It is safe for concurrent use.
type Gate struct {
	isShut atomic.Bool
	// probe is a cheap call that fails while the store is away.
	probe func(ctx context.Context) error
	// trier has room for the one caller that tries while the gate is shut. It
	// guards pause.
	trier chan struct{}
	pause time.Duration
}

// New returns an open Gate.
func New(probe func(ctx context.Context) error) *Gate {
	return &Gate{probe: probe, trier: make(chan struct{}, 1)}
}

// Shut records that a call failed outside of Do.
func (g *Gate) Shut() { g.isShut.Store(true) }

// IsShut reports whether the last call failed.
func (g *Gate) IsShut() bool { return g.isShut.Load() }

// Do calls; if the gate is shut after a pause, alone, and behind a probe. It reports whether the
// gate was shut, and returns the error of the call or of ctx.
func (g *Gate) Do(ctx context.Context, call func() error) (bool, error) {
	if !g.isShut.Load() {
		err := call()
		g.isShut.Store(err != nil)
		return false, err
	}
	select {
	case g.trier <- struct{}{}:
	case <-ctx.Done():
		return true, ctx.Err()
	}
	defer func() { <-g.trier }()
	if g.isShut.Load() {
		g.pause = min(max(2*g.pause, firstPause), lastPause)
		if !pause.For(ctx, g.pause) {
			return true, ctx.Err()
		}
		if err := g.probe(ctx); err != nil {
			return true, err
		}
	}
	err := call()
	g.isShut.Store(err != nil)
	if err == nil {
		g.pause = 0
	}
	return true, err
}
