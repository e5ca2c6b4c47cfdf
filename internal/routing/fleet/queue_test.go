package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

func newEntry(id, dataCentre, region string) membership.Entry {
	return membership.Entry{ID: id, Service: "s", Address: id + ":80", DataCentre: dataCentre, Region: region, Capacity: 1, StartUnixMs: 1, Sequence: 1}
}

// newTestGroup returns a group with one server in the data centre of its host and the
// given number of servers in another region.
func newTestGroup(far int) (*Fleet, *Group) {
	f := New(Locality{Host: "h", DataCentre: "z0", Region: "r0"})
	entries := []membership.Entry{newEntry("near", "z0", "r0")}
	for i := range far {
		entries = append(entries, newEntry(fmt.Sprint("far", i), "z1", "r1"))
	}
	f.Update(entries)
	return f, f.Group("s")
}

// pickAll picks servers until none has free capacity.
func pickAll(g *Group, now time.Time) []*Server {
	var taken []*Server
	for s := g.Pick(now, Filter{}); s != nil; s = g.Pick(now, Filter{}) {
		taken = append(taken, s)
	}
	return taken
}

// Under overload no server has free capacity, and requests of different ranks wait. They
// must be served in the order of their ranks.
func TestAcquireServesWaitersByRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newTestGroup(0)
		now := time.Now()
		taken := pickAll(g, now)
		soon, later := now.Add(time.Second), now.Add(2*time.Second)
		ranks := map[string]Rank{
			"low":                 {Priority: 2, Objective: soon},
			"high later":          {Priority: 1, Objective: later},
			"high soon":           {Priority: 1, Objective: soon},
			"high retry":          {Priority: 1, Objective: later, IsRetry: true},
			"high past objective": {Priority: 1, Objective: now.Add(-time.Second)},
		}
		order := make(chan string, len(ranks))
		for name, rank := range ranks {
			go func() {
				if s := g.Acquire(t.Context(), Filter{}, rank, time.Hour); s != nil {
					order <- name
				}
			}()
		}
		synctest.Wait()
		for _, want := range []string{"high retry", "high soon", "high later", "high past objective", "low"} {
			g.Done(taken[0], Answered, time.Millisecond, time.Now())
			synctest.Wait()
			if got := <-order; got != want {
				t.Fatalf("served %q, want %q", got, want)
			}
		}
	})
}

func TestAcquireTakesNoServerAfterCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newTestGroup(0)
		now := time.Now()
		taken := pickAll(g, now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan *Server)
		go func() { done <- g.Acquire(ctx, Filter{}, Rank{}, time.Hour) }()
		synctest.Wait()
		cancel()
		if s := <-done; s != nil {
			t.Fatal("a cancelled request got a server")
		}
		for _, s := range taken {
			g.ReleaseUnused(s)
		}
		if taken[0].inFlight != 0 || g.Waiting() != 0 {
			t.Fatalf("got %d requests in flight and %d waiting, want none", taken[0].inFlight, g.Waiting())
		}
	})
}

func TestAcquireRejectsTooLongWaitAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newTestGroup(0)
		now := time.Now()
		for s := g.Pick(now, Filter{}); s != nil; s = g.Pick(now, Filter{}) {
			continue
		}
		if s := g.Acquire(t.Context(), Filter{}, Rank{}, 5*time.Millisecond); s != nil || time.Since(now) != 0 {
			t.Fatalf("got server %v after %s, want none at once", s, time.Since(now))
		}
	})
}

// A request of a route that is restricted to some regions must never reach servers of
// other regions.
func TestPickUsesOnlyAllowedRegions(t *testing.T) {
	_, g := newTestGroup(3)
	filter := Filter{AllowsRegion: func(region string) bool { return region == "r1" }}
	for range 100 {
		s := g.Pick(time.Now(), filter)
		if s == nil {
			break
		}
		if s.entry().Region != "r1" {
			t.Fatalf("picked server %s outside the allowed region", s.ID())
		}
	}
	if g.hasServer(Filter{AllowsRegion: func(string) bool { return false }}, time.Now(), time.Now()) {
		t.Fatal("found a server although no region is allowed")
	}
}

// A server that is draining, removed or in an evacuated data centre must get no request
// from the next pick on. When a server restarts, the observations from before the restart
// must not count any more.
func TestServerOutOfRotationGetsNoRequests(t *testing.T) {
	f, g := newTestGroup(0)
	e := newEntry("near", "z0", "r0")
	e.Draining, e.Sequence = true, 2
	f.Update([]membership.Entry{e})
	if g.Pick(time.Now(), Filter{}) != nil {
		t.Fatal("a draining server got a request")
	}
	f.Update([]membership.Entry{newEntry("near", "z0", "r0")})
	f.Evacuate(map[string]bool{"z0": true})
	if g.Pick(time.Now(), Filter{}) != nil {
		t.Fatal("a server of an evacuated data centre got a request")
	}
	f.Evacuate(nil)
	s := g.Pick(time.Now(), Filter{})
	g.Done(s, Unreachable, 0, time.Now())
	restarted := newEntry("near", "z0", "r0")
	restarted.StartUnixMs = 2
	f.Update([]membership.Entry{restarted})
	if again := g.Pick(time.Now(), Filter{}); again == s || again == nil {
		t.Fatal("the state from before the restart still counts")
	}
	if unused := f.Update(nil); len(unused) != 1 || g.Pick(time.Now(), Filter{}) != nil {
		t.Fatalf("got unused addresses %v, want one, and no server to pick", unused)
	}
}

// A server has reset a new connection. It must not get more concurrent requests than it
// had in flight at that moment, until connectionLimitTime has passed.
func TestServerThatRejectedConnectionGetsNoFurtherConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newTestGroup(0)
		a, b := g.Pick(time.Now(), Filter{}), g.Pick(time.Now(), Filter{})
		g.Done(b, ConnectionRejected, time.Millisecond, time.Now())
		if g.Pick(time.Now(), Filter{}) != nil {
			t.Fatal("a server got a second connection right after it reset one")
		}
		time.Sleep(2 * connectionLimitTime)
		g.Done(a, Answered, time.Millisecond, time.Now())
		if g.Pick(time.Now(), Filter{}) == nil {
			t.Fatal("a server got no request after the limit on connections has ended")
		}
	})
}

// BenchmarkPick measures the choice of the server for one request. The target is less
// than one microsecond and no allocation.
func BenchmarkPick(b *testing.B) {
	_, g := newTestGroup(2)
	now := time.Now()
	filter := Filter{}
	b.ReportAllocs()
	for b.Loop() {
		g.ReleaseUnused(g.Pick(now, filter))
	}
}
