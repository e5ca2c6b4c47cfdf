package gate

import (
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
		g := New()
		start := time.Now()
		calls := 0
		var mu sync.Mutex
		list := func() error {
			mu.Lock()
			defer mu.Unlock()
			calls++
			if time.Since(start) < 6400*time.Millisecond {
				return errAway
			}
			return nil
		}
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
		if calls > 11 {
			t.Fatalf("%d calls by three followers, want about those of one", calls)
		}
		if took := time.Since(start); took > 6400*time.Millisecond+lastPause {
			t.Fatalf("all listed after %s", took)
		}
	})
}
