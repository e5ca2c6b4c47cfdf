package breaker

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var errStoreDown = errors.New("store is down")

// The store is down for 6.4 s while three followers try to list its objects. During the
// outage, only the probes may be repeated, not the lists. All followers must have listed
// the objects within maxProbeDelay after the end of the outage.
func TestOnlyProbesRetryWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		calls, probes := 0, 0
		var mu sync.Mutex
		count := func(n *int) error {
			mu.Lock()
			defer mu.Unlock()
			*n++
			if time.Since(start) < 6400*time.Millisecond {
				return errStoreDown
			}
			return nil
		}
		b := New()
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() {
			for b.AwaitProbe(ctx, 4*time.Second) {
				b.Observe(count(&probes))
			}
		})
		var followers sync.WaitGroup
		for range 3 {
			followers.Go(func() {
				for {
					if _, err := b.Wait(ctx); err != nil {
						return
					}
					err := count(&calls)
					b.Observe(err)
					if err == nil {
						return
					}
				}
			})
		}
		followers.Wait()
		// Each follower is allowed two calls: one that fails during the outage and one
		// that succeeds after it.
		if calls > 2*3 || probes > 6400/500+2 {
			t.Errorf("three followers sent %d calls and %d probes", calls, probes)
		}
		if elapsed := time.Since(start); elapsed > 6400*time.Millisecond+maxProbeDelay {
			t.Errorf("the last follower listed after %s", elapsed)
		}
		cancel()
		tasks.Wait()
	})
}

func TestWaitReportsWhetherItWaited(t *testing.T) {
	b := New()
	if waited, err := b.Wait(t.Context()); waited || err != nil {
		t.Errorf("Wait() = %v, %v before any failure, want false, nil", waited, err)
	}
	b.Observe(errStoreDown)
	time.AfterFunc(time.Millisecond, func() { b.Observe(nil) })
	if waited, err := b.Wait(t.Context()); !waited || err != nil {
		t.Errorf("Wait() = %v, %v after a failure, want true, nil", waited, err)
	}
}
