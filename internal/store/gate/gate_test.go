package gate

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var errAway = errors.New("the store is away")

// The store is away for 6.4 s; three followers want to list.
func TestOneCheapCallTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		calls, tries := 0, 0
		var mu sync.Mutex
		count := func(n *int) error {
			mu.Lock()
			defer mu.Unlock()
			*n++
			if time.Since(start) < 6400*time.Millisecond {
				return errAway
			}
			return nil
		}
		g := New()
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() {
			for g.Next(ctx, 4*time.Second) {
				g.Observe(count(&tries))
			}
		})
		var followers sync.WaitGroup
		for range 3 {
			followers.Go(func() {
				for {
					if _, err := g.Wait(ctx); err != nil {
						return
					}
					err := count(&calls)
					g.Observe(err)
					if err == nil {
						return
					}
				}
			})
		}
		followers.Wait()
		// Each follower may find out once, and lists once at the end.
		if calls > 2*3 || tries > 6400/500+2 {
			t.Errorf("%d calls and %d tries of three followers", calls, tries)
		}
		if took := time.Since(start); took > 6400*time.Millisecond+lastPause {
			t.Errorf("all listed after %s", took)
		}
		cancel()
		tasks.Wait()
	})
}

func TestFollowersAreToldThatTheyWaited(t *testing.T) {
	g := New()
	if waited, err := g.Wait(t.Context()); waited || err != nil {
		t.Errorf("%v, %v at an open gate", waited, err)
	}
	g.Observe(errAway)
	time.AfterFunc(time.Millisecond, func() { g.Observe(nil) })
	if waited, err := g.Wait(t.Context()); !waited || err != nil {
		t.Errorf("%v, %v at a gate that was shut", waited, err)
	}
}
