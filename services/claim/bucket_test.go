package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/tests/standin/objects"
)

// TestBucketGrantsKeyToOneHolderAtMost lets two hosts write to the same bucket at the
// same time while the store loses replies. No key may have two holders at a time.
func TestBucketGrantsKeyToOneHolderAtMost(t *testing.T) {
	type step struct {
		Host, Key int
		At        time.Duration
		Release   bool
	}
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Host:    rapid.IntRange(0, 1).Draw(t, "host"),
			Key:     rapid.IntRange(0, 3).Draw(t, "key"),
			At:      time.Duration(rapid.IntRange(0, 400).Draw(t, "at ms")) * time.Millisecond,
			Release: rapid.Bool().Draw(t, "release"),
		}
	}), 2, 30)
	rapid.Check(t, func(rt *rapid.T) {
		plan := steps.Draw(rt, "steps")
		faults := objects.Faults{LoseReplyEvery: rapid.IntRange(0, 3).Draw(rt, "lose"), Delay: time.Duration(rapid.IntRange(0, 30).Draw(rt, "slow ms")) * time.Millisecond}
		var problem error
		synctest.Test(t, func(*testing.T) {
			store := objects.New()
			store.SetFaults(faults)
			buckets := []*bucket{newBucket(store, 0, time.Millisecond), newBucket(store, 0, time.Millisecond)}
			var mu sync.Mutex
			holders := map[int]string{}
			var wg sync.WaitGroup
			for i, s := range plan {
				wg.Go(func() {
					time.Sleep(s.At)
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					defer cancel()
					req := Request{Key: digestOf(fmt.Sprint(s.Key)), Nonce: fmt.Sprint(i)}
					reply, err := buckets[s.Host].execute(ctx, req)
					if err != nil || reply.Nonce != req.Nonce {
						return
					}
					mu.Lock()
					if other, ok := holders[s.Key]; ok {
						problem = fmt.Errorf("key %d has two holders, nonces %s and %s", s.Key, other, req.Nonce)
					}
					holders[s.Key] = req.Nonce
					mu.Unlock()
					if !s.Release {
						return
					}
					time.Sleep(20 * time.Millisecond)
					mu.Lock()
					delete(holders, s.Key)
					mu.Unlock()
					req.Release = true
					_, _ = buckets[s.Host].execute(ctx, req)
				})
			}
			wg.Wait()
			time.Sleep(time.Minute)
		})
		if problem != nil {
			rt.Fatal(problem)
		}
	})
}
