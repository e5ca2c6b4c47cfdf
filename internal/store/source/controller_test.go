package source

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	testBound = 4 * time.Second
	testFresh = 1500 * time.Millisecond
	// checkInterval is how often a host that follows the store hears of it.
	checkInterval = 800 * time.Millisecond
)

// site is a data centre of hosts without I/O.
type site struct {
	mu    sync.Mutex
	hosts []*fakeHost
	// isDown tells that the store serves nobody.
	isDown bool
}

// fakeHost is the Link of one host.
type fakeHost struct {
	*Controller
	site *site
	self Host
	// isRefused means that the store turns the host away, isDark that it lost power.
	isRefused, isDark bool
	// learned is the time up to which the host knows the store.
	learned time.Time
}

func (s *site) add(i int) *fakeHost {
	h := &fakeHost{site: s, self: Host{Name: fmt.Sprint("h", i), Power: float64(uint(1) << (10 - i))}}
	h.Controller = NewController(h.self, h, testBound, testFresh)
	h.learned = time.Now()
	s.hosts = append(s.hosts, h)
	return h
}

func (h *fakeHost) canReachStore() bool { return !h.site.isDown && !h.isRefused && !h.isDark }

func (h *fakeHost) Learn(ctx context.Context, other Host, wait time.Duration, isTrial bool) Standing {
	h.site.mu.Lock()
	var x *fakeHost
	for _, y := range h.site.hosts {
		if y.self.Name == other.Name {
			x = y
		}
	}
	isDark := x.isDark || h.isDark
	h.site.mu.Unlock()
	if isDark {
		pause.For(ctx, wait+500*time.Millisecond)
		return Unreachable
	}
	pause.For(ctx, wait)
	if !x.IsServing(time.Now()) {
		return Idle
	}
	h.site.mu.Lock()
	defer h.site.mu.Unlock()
	if !isTrial {
		h.learned = x.learned
	}
	return Serving
}

func (h *fakeHost) FollowStore(ctx context.Context, _ Session) {
	for ctx.Err() == nil {
		h.site.mu.Lock()
		if h.canReachStore() {
			h.learned = time.Now()
		}
		h.site.mu.Unlock()
		pause.For(ctx, checkInterval)
	}
}

func (h *fakeHost) Reach(now time.Time) (time.Duration, bool) {
	h.site.mu.Lock()
	defer h.site.mu.Unlock()
	return now.Sub(h.learned), false
}

func (h *fakeHost) Remove(context.Context, Host) {}

func (h *fakeHost) Entered(string) {}

func (h *fakeHost) Left(string, Standing) {}

// playSite runs hosts until they have settled, lets a fault happen, and returns after a
// time which hosts follow the store and how old what each knows has been at most.
func playSite(t *testing.T, count int, fault func(s *site), d time.Duration) (direct []string, oldest map[string]time.Duration) {
	oldest = map[string]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		s := &site{}
		var list []Host
		for i := range count {
			list = append(list, s.add(i).self)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, h := range s.hosts {
			h.SetHosts(list)
			running.Go(func() { h.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		fault(s)
		s.mu.Unlock()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, h := range s.hosts {
				age, _ := h.Reach(time.Now())
				oldest[h.self.Name] = max(oldest[h.self.Name], age)
			}
		}
		for _, h := range s.hosts {
			if h.IsDirect() {
				direct = append(direct, h.self.Name)
			}
		}
		cancel()
		running.Wait()
	})
	return direct, oldest
}

// Changes are due within the bound at all hosts that can learn of them.
func TestHostsKnowTheStoreInTimeThroughFaultsOfTheirSource(t *testing.T) {
	tests := map[string]struct {
		fault func(s *site)
		// direct are the hosts that follow the store afterwards, lost those that can't
		// know it.
		direct []string
		lost   string
	}{
		"none":                      {func(*site) {}, []string{"h0"}, ""},
		"the first turned away":     {func(s *site) { s.hosts[0].isRefused = true }, []string{"h1"}, ""},
		"the first two turned away": {func(s *site) { s.hosts[0].isRefused, s.hosts[1].isRefused = true, true }, []string{"h2"}, ""},
		"the first without power":   {func(s *site) { s.hosts[0].isDark = true }, []string{"h0", "h1"}, "h0"},
		"one turned away":           {func(s *site) { s.hosts[3].isRefused = true }, []string{"h0"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			direct, oldest := playSite(t, 5, test.fault, 20*time.Second)
			if fmt.Sprint(direct) != fmt.Sprint(test.direct) {
				t.Errorf("%v follow the store, want %v", direct, test.direct)
			}
			for host, age := range oldest {
				if age > testBound && host != test.lost {
					t.Errorf("%s was %s behind", host, age)
				}
			}
		})
	}
}

// The store is down for all for 8 s: afterwards one host follows it again.
func TestOneHostFollowsTheStoreAfterAnOutage(t *testing.T) {
	direct, _ := playSite(t, 6, func(s *site) {
		s.isDown = true
		time.AfterFunc(8*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.isDown = false
		})
	}, 30*time.Second)
	if fmt.Sprint(direct) != "[h0]" {
		t.Errorf("%v follow the store", direct)
	}
}
