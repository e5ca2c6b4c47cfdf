// Package breaker implements a circuit breaker for the calls to the store: after a failed
// call, further calls wait until a cheap probe succeeds.
//
// # Usage
//
//	b := breaker.New()
//	go func() {
//		for b.AwaitProbe(ctx, interval) {
//			b.Observe(readStale(ctx))
//		}
//	}()
//	waited, err := b.Wait(ctx)
//	b.Observe(list())
//
// On one host, several tasks list and watch the store's objects. Without the breaker,
// each task would repeat its calls throughout an outage of the store, although a rejected
// call costs as much as a successful call.
package breaker

import (
	"context"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	// minProbeDelay and maxProbeDelay bound the time between two probes while the breaker
	// is tripped. They are short because a host without a configuration can serve no
	// requests until the store answers again, and a probe costs only a tenth of an
	// ordinary call.
	minProbeDelay = 200 * time.Millisecond
	maxProbeDelay = 500 * time.Millisecond
)

// Breaker is a circuit breaker. A failed call or probe trips it, and the next successful
// call or probe resets it. It is safe for concurrent use.
type Breaker struct {
	mu sync.Mutex
	// isTripped is true if the last call or probe failed. changed is closed, and replaced
	// by a new channel, when isTripped changes.
	isTripped bool
	changed   chan struct{}
	// trips is the number of times that the breaker has tripped.
	trips int
	// probeDelay is the time before the next probe while the breaker is tripped.
	probeDelay time.Duration
}

// New returns a Breaker that is not tripped.
func New() *Breaker { return &Breaker{changed: make(chan struct{})} }

// IsTripped reports whether the last call or probe failed.
func (b *Breaker) IsTripped() bool {
	isTripped, _ := b.state()
	return isTripped
}

// Trips returns the number of times that the breaker has tripped. If the number increases
// during a call, the store was down for part of that call.
func (b *Breaker) Trips() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.trips
}

// state returns whether the breaker is tripped, and a channel that is closed when the
// breaker next trips or resets.
func (b *Breaker) state() (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isTripped, b.changed
}

// Observe records the result of a call or probe.
func (b *Breaker) Observe(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isTripped := err != nil
	if isTripped != b.isTripped {
		b.isTripped, b.probeDelay = isTripped, 0
		if isTripped {
			b.trips++
		}
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// Wait returns once the breaker is not tripped, and reports whether it had to wait. It
// returns the error of ctx if ctx ends first.
func (b *Breaker) Wait(ctx context.Context) (bool, error) {
	for waited := false; ; waited = true {
		isTripped, changed := b.state()
		if !isTripped {
			return waited, ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true, ctx.Err()
		}
	}
}

// AwaitProbe waits until the next probe is due, and returns false if ctx ends first. The
// next probe is due after interval while the breaker is not tripped, and after a delay
// that grows from minProbeDelay to maxProbeDelay while it is tripped.
func (b *Breaker) AwaitProbe(ctx context.Context, interval time.Duration) bool {
	isTripped, changed := b.state()
	if !isTripped {
		timer := pause.NewTimer(interval)
		defer timer.Stop()
		select {
		case <-timer.C():
			return true
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
	b.mu.Lock()
	b.probeDelay = min(max(2*b.probeDelay, minProbeDelay), maxProbeDelay)
	delay := b.probeDelay
	b.mu.Unlock()
	return pause.For(ctx, delay)
}
