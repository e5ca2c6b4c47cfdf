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
	// watchWait is how long one watch waits. A watch on a connection that went
	// silent is over soon after.
	watchWait = 10 * time.Second
	// firstRetry and lastRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 5 * time.Second
)

// retry is an exponential pause with jitter between failed calls of the store.
type retry struct{ next time.Duration }

// wait pauses after a failure and reports whether ctx still runs.
func (r *retry) wait(ctx context.Context) bool {
	r.next = min(max(2*r.next, firstRetry), lastRetry)
	return pause.For(ctx, r.next/2+rand.N(r.next/2))
}

func (r *retry) reset() { r.next = 0 }

// Follower keeps up with the accepted object in the store while IsWatcher
// says that this host is one of the watchers; the others learn from peers.
type Follower struct {
	Store     platform.Store
	Keeper    *Keeper
	IsWatcher func() bool
	// Poll is the interval at which a host that does not watch looks whether it
	// has become a watcher.
	Poll time.Duration
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var backoff retry
	var version uint64
	for ctx.Err() == nil {
		if !f.IsWatcher() {
			pause.For(ctx, f.Poll)
			continue
		}
		object, err := f.Store.Watch(ctx, AcceptedObject, version, watchWait)
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
