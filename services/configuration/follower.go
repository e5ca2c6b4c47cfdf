package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/pause"
	"github.com/godwithatch/godwithatch/services/platform"
)

const (
	// maxWatchWait is the longest time for which the store may hold a watch open
	// before it answers. A watch on a connection that has stopped delivering data
	// times out soon after that time.
	maxWatchWait = 10 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call, before jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// storeBackoff is the exponential backoff with jitter between failed calls to the
// store.
type storeBackoff struct{ delay time.Duration }

// wait doubles the delay and waits for a random time between half the delay and all of
// it. It reports false if ctx ends first.
func (b *storeBackoff) wait(ctx context.Context) bool {
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	return pause.For(ctx, b.delay/2+rand.N(b.delay/2))
}

func (b *storeBackoff) reset() { b.delay = 0 }

// Follower watches the accepted object in the store and offers each version to the Keeper
// while IsWatcher reports that this host is one of the watchers. Hosts that are not
// watchers receive the accepted object from peers.
type Follower struct {
	Store     platform.Store
	Keeper    *Keeper
	IsWatcher func() bool
	// Poll is the interval at which a host that is not a watcher checks whether it has
	// become one.
	Poll time.Duration
}

// Run watches the accepted object and offers it to the Keeper until ctx ends. It ignores
// a damaged object.
func (f *Follower) Run(ctx context.Context) {
	var backoff storeBackoff
	var version uint64
	for ctx.Err() == nil {
		if !f.IsWatcher() {
			pause.For(ctx, f.Poll)
			continue
		}
		object, err := f.Store.Watch(ctx, AcceptedObject, version, maxWatchWait)
		if err != nil {
			if fault.Is(err, fault.ObjectNotFound) {
				backoff.reset()
			}
			backoff.wait(ctx)
			continue
		}
		backoff.reset()
		version = object.Version()
		_, _ = f.Keeper.Offer(object.Value(), "store")
	}
}
