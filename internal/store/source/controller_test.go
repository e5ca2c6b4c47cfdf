package source

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	testBound  = 4 * time.Second
	testMaxAge = 1500 * time.Millisecond
	// checkInterval is the interval at which a host that follows the simulated store
	// reads its content.
	checkInterval = 800 * time.Millisecond
)

// dataCentre is a simulated data centre whose hosts do no I/O.
type dataCentre struct {
	mu    sync.Mutex
	hosts []*fakeHost
	// isDown means that the store answers no host.
	isDown bool
}

// fakeHost is a simulated host. It is also the Transport of its Controller.
type fakeHost struct {
	*Controller
	dataCentre *dataCentre
	self       Host
	// isRejected means that the store rejects the host's calls. isPoweredOff means that
	// the host is switched off.
	isRejected, isPoweredOff bool
	// syncedAt is the time up to which the host knows the content of the store.
	syncedAt time.Time
}

func (d *dataCentre) add(i int) *fakeHost {
	h := &fakeHost{dataCentre: d, self: Host{Name: fmt.Sprint("h", i), Power: math.Ldexp(1, -i)}}
	h.Controller = NewController(h.self, h, testBound, testMaxAge)
	h.syncedAt = time.Now()
	d.hosts = append(d.hosts, h)
	return h
}

func (h *fakeHost) canReachStore() bool {
	return !h.dataCentre.isDown && !h.isRejected && !h.isPoweredOff
}

func (h *fakeHost) Fetch(ctx context.Context, other Host, wait time.Duration, isProbe bool) Standing {
	h.dataCentre.mu.Lock()
	var peer *fakeHost
	for _, candidate := range h.dataCentre.hosts {
		if candidate.self.Name == other.Name {
			peer = candidate
		}
	}
	isPoweredOff := peer.isPoweredOff || h.isPoweredOff
	h.dataCentre.mu.Unlock()
	if isPoweredOff {
		pause.For(ctx, wait+500*time.Millisecond)
		return Unreachable
	}
	pause.For(ctx, wait)
	if !peer.IsServing(time.Now()) {
		return Idle
	}
	h.dataCentre.mu.Lock()
	defer h.dataCentre.mu.Unlock()
	if !isProbe {
		h.syncedAt = peer.syncedAt
	}
	return Serving
}

func (h *fakeHost) FollowStore(ctx context.Context, _ Session) {
	for ctx.Err() == nil {
		h.dataCentre.mu.Lock()
		if h.canReachStore() {
			h.syncedAt = time.Now()
		}
		h.dataCentre.mu.Unlock()
		pause.For(ctx, checkInterval)
	}
}

func (h *fakeHost) StoreHealth(now time.Time) (time.Duration, bool) {
	h.dataCentre.mu.Lock()
	defer h.dataCentre.mu.Unlock()
	return now.Sub(h.syncedAt), false
}

func (h *fakeHost) Remove(context.Context, Host) {}

func (h *fakeHost) SourceSelected(string) {}

func (h *fakeHost) SourceLost(string, Standing) {}

// simulate runs count hosts for 5 s, in which they choose their sources, then injects a
// fault and observes the hosts for duration. It returns the names of the hosts that
// follow the store at the end and, for each host, the longest time by which its content
// was behind the store.
func simulate(t *testing.T, count int, fault func(d *dataCentre), duration time.Duration) (followers []string, maxAges map[string]time.Duration) {
	maxAges = map[string]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		d := &dataCentre{}
		var list []Host
		for i := range count {
			list = append(list, d.add(i).self)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, h := range d.hosts {
			h.SetHosts(list)
			running.Go(func() { h.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		d.mu.Lock()
		fault(d)
		d.mu.Unlock()
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, h := range d.hosts {
				age, _ := h.StoreHealth(time.Now())
				maxAges[h.self.Name] = max(maxAges[h.self.Name], age)
			}
		}
		for _, h := range d.hosts {
			if h.IsFollowingStore() {
				followers = append(followers, h.self.Name)
			}
		}
		cancel()
		running.Wait()
	})
	return followers, maxAges
}

// The store rejects some hosts, or the host that follows the store loses power. All hosts
// that can still reach a source must learn of changes within testBound.
func TestHostsStayWithinBoundWhenTheirSourceFails(t *testing.T) {
	tests := map[string]struct {
		fault func(d *dataCentre)
		// followers are the hosts that follow the store at the end of the test.
		followers []string
		// unreachable is the host that cannot reach any source.
		unreachable string
	}{
		"no fault":                        {func(*dataCentre) {}, []string{"h0"}, ""},
		"store rejects first host":        {func(d *dataCentre) { d.hosts[0].isRejected = true }, []string{"h1"}, ""},
		"store rejects first two hosts":   {func(d *dataCentre) { d.hosts[0].isRejected, d.hosts[1].isRejected = true, true }, []string{"h2"}, ""},
		"first host loses power":          {func(d *dataCentre) { d.hosts[0].isPoweredOff = true }, []string{"h0", "h1"}, "h0"},
		"store rejects lower-ranked host": {func(d *dataCentre) { d.hosts[3].isRejected = true }, []string{"h0"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			followers, maxAges := simulate(t, 5, test.fault, 20*time.Second)
			if fmt.Sprint(followers) != fmt.Sprint(test.followers) {
				t.Errorf("%v follow the store, want %v", followers, test.followers)
			}
			for host, age := range maxAges {
				if age > testBound && host != test.unreachable {
					t.Errorf("%s was %s behind the store", host, age)
				}
			}
		})
	}
}

// The store is down for all hosts for 8 s. Once it answers again, only the host that
// ranks first must follow it.
func TestOneHostFollowsTheStoreAfterAnOutage(t *testing.T) {
	followers, _ := simulate(t, 6, func(d *dataCentre) {
		d.isDown = true
		time.AfterFunc(8*time.Second, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.isDown = false
		})
	}, 30*time.Second)
	if fmt.Sprint(followers) != "[h0]" {
		t.Errorf("%v follow the store, want [h0]", followers)
	}
}

// The host that follows the store and those that rank next lose power at once, as when hosts are cut
// off from each other. The others asked them one after the other (CONFIG, DRAIN: behind the
// store for longer than the bound).
func TestHostsFindSourceBehindManyThatAreGone(t *testing.T) {
	for _, gone := range []int{1, 2, 4, 8} {
		t.Run(fmt.Sprint(gone), func(t *testing.T) {
			_, maxAges := simulate(t, 12, func(d *dataCentre) {
				for _, h := range d.hosts[:gone] {
					h.isPoweredOff = true
				}
			}, 20*time.Second)
			for i := gone; i < 12; i++ {
				if age := maxAges[fmt.Sprint("h", i)]; age > testBound {
					t.Errorf("h%d was %s behind the store, bound %s", i, age, testBound)
				}
			}
		})
	}
}
