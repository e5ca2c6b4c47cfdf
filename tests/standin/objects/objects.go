// Package objects is a small in-memory stand-in for the platform's object API.
package objects

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/pause"
	"github.com/godwithatch/godwithatch/services/platform"
)

// Faults is the set of faults that a test injects. The zero value is a store that works
// normally.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Delay is the delay of every call. It is in nanoseconds in JSON.
	Delay time.Duration `json:"slow"`
	// LoseReplyEvery makes every n-th write return an error although it takes effect, as
	// if its answer had been lost. 0 disables it.
	LoseReplyEvery int `json:"lose_every"`
}

// Objects is an in-memory platform.Store. It is safe for concurrent use.
type Objects struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	version uint64
	hosts   []platform.HostEntry
	changed chan struct{}
	faults  Faults
	writes  int
	calls   int
}

var _ platform.Store = (*Objects)(nil)

// New returns an empty store without faults.
func New() *Objects {
	return &Objects{objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the current faults.
func (o *Objects) SetFaults(f Faults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// SetHosts replaces the list of hosts that Hosts returns.
func (o *Objects) SetHosts(hosts []platform.HostEntry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hosts = hosts
}

// Calls returns the number of all calls so far, and the number of writes that took
// effect.
func (o *Objects) Calls() (calls, writes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls, o.writes
}

// beginCall counts a call, and delays it or makes it fail as the faults Delay and Down
// say. It returns fault.StoreUnavailable if the store is down or ctx ends during the
// delay.
func (o *Objects) beginCall(ctx context.Context) error {
	o.mu.Lock()
	f := o.faults
	o.calls++
	o.mu.Unlock()
	if f.Down {
		return fault.New(fault.StoreUnavailable, fault.Unknown, "the store is down")
	}
	if f.Delay == 0 {
		return nil
	}
	delay := pause.NewTimer(f.Delay)
	defer delay.Stop()
	select {
	case <-delay.C():
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.StoreUnavailable, fault.Unknown, ctx.Err(), "the store is slow")
	}
}

// Get implements platform.Store.
func (o *Objects) Get(ctx context.Context, name string) (platform.Object, error) {
	if err := o.beginCall(ctx); err != nil {
		return platform.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	object, ok := o.objects[name]
	if !ok {
		return object, fault.New(fault.ObjectNotFound, fault.NotRun, "there is no object %q", name)
	}
	return object, nil
}

// List implements platform.Store.
func (o *Objects) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	if err := o.beginCall(ctx); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []platform.Object
	for name, object := range o.objects {
		if strings.HasPrefix(name, prefix) {
			list = append(list, object)
		}
	}
	slices.SortFunc(list, func(a, b platform.Object) int { return strings.Compare(a.Name(), b.Name()) })
	return list, nil
}

// Put implements platform.Store.
func (o *Objects) Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	if err := o.beginCall(ctx); err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(value) > platform.MaxValueBytes {
		return 0, fault.New(fault.ObjectTooLarge, fault.NotRun, "%d bytes", len(value))
	}
	if o.objects[name].Version() != version {
		return 0, fault.New(fault.VersionConflict, fault.NotRun, "version is %d", o.objects[name].Version())
	}
	o.version++
	o.writes++
	o.objects[name] = platform.NewObject(name, o.version, slices.Clone(value))
	close(o.changed)
	o.changed = make(chan struct{})
	if o.faults.LoseReplyEvery > 0 && o.writes%o.faults.LoseReplyEvery == 0 {
		return 0, fault.New(fault.StoreUnavailable, fault.Unknown, "the answer was lost")
	}
	return o.version, nil
}

// Watch implements platform.Store.
func (o *Objects) Watch(ctx context.Context, name string, version uint64, wait time.Duration) (platform.Object, error) {
	timeout := pause.NewTimer(wait)
	defer timeout.Stop()
	for {
		o.mu.Lock()
		changed := o.changed
		o.mu.Unlock()
		object, err := o.Get(ctx, name)
		if err != nil && !fault.Is(err, fault.ObjectNotFound) {
			return object, err
		}
		if err == nil && object.Version() > version {
			return object, nil
		}
		select {
		case <-changed:
		case <-timeout.C():
			return object, err
		case <-ctx.Done():
			return object, fault.Wrap(fault.StoreUnavailable, fault.Unknown, ctx.Err(), "the watch ended")
		}
	}
}

// Hosts implements platform.Store.
func (o *Objects) Hosts(ctx context.Context) ([]platform.HostEntry, error) {
	if err := o.beginCall(ctx); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.hosts), nil
}
