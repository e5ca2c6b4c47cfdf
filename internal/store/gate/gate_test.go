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
func TestOneCallerTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		calls, probes := 0, 0
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
		list := func() error { return count(&calls) }
		g := New(func(context.Context) error { return count(&probes) })
		var followers sync.WaitGroup
		for range 3 {
			followers.Go(func() {
				for {
					if _, err := g.Do(t.Context(), list); err == nil {
						return
					}
				}
			})
		}
		followers.Wait()
		// Each follower may find out once, and lists once at the end.
		if calls > 2*3 || probes > 11 {
			t.Fatalf("%d calls and %d probes by three followers, want about those of one", calls, probes)
		}
		if took := time.Since(start); took > 6400*time.Millisecond+lastPause {
			t.Fatalf("all listed after %s", took)
		}
	})
}
