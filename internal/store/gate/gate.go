// Package gate lets one caller at a time try a store that does not answer, while
// the others wait for its success.
//
// # Usage
//
//	g := gate.New()
//	waited, err := g.Do(ctx, func() error { return list() })
//
// It answers this pattern: the store is away for seconds, several followers of one
// host each repeat their calls, and refused calls are priced like served ones.
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
	lastPause  = 1500 * time.Millisecond
)

// Gate is open while calls succeed. It is safe for concurrent use.
type Gate struct {
	isShut atomic.Bool
	// trier has room for the one caller that tries while the gate is shut. It
	// guards pause.
	trier chan struct{}
	pause time.Duration
}

// New returns an open Gate.
func New() *Gate { return &Gate{trier: make(chan struct{}, 1)} }

// Shut records that a call failed outside of Do.
func (g *Gate) Shut() { g.isShut.Store(true) }

// Do calls, after a pause and alone if the gate is shut. It reports whether the
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
	}
	err := call()
	g.isShut.Store(err != nil)
	if err == nil {
		g.pause = 0
	}
	return true, err
}
