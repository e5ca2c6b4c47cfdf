package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

func entry(id, zone, region string) membership.Entry {
	return membership.Entry{ID: id, Service: "s", Address: id + ":80", Zone: zone, Region: region, Capacity: 1, Born: 1, Sequence: 1}
}

// newTestGroup returns a group with one near server and far ones.
func newTestGroup(far int) (*Fleet, *Group) {
	f := New(Place{Host: "h", Zone: "z0", Region: "r0"})
	entries := []membership.Entry{entry("near", "z0", "r0")}
	for i := range far {
		entries = append(entries, entry(fmt.Sprint("far", i), "z1", "r1"))
	}
	f.Update(entries)
	return f, f.Group("s")
}

// takeAll takes all places of a group.
func takeAll(g *Group, now time.Time) []*Server {
	var taken []*Server
	for s := g.Pick(now, Ask{}); s != nil; s = g.Pick(now, Ask{}) {
		taken = append(taken, s)
	}
	return taken
}

// Overload: all places are taken, and requests of all kinds wait.
func TestWaitingRequestsAreServedByRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newTestGroup(0)
		now := time.Now()
		taken := takeAll(g, now)
		soon, later := now.Add(time.Second), now.Add(2*time.Second)
		ranks := map[string]Rank{
			"low":            {Priority: 2, Objective: soon},
			"high later":     {Priority: 1, Objective: later},
			"high soon":      {Priority: 1, Objective: soon},
			"high returned":  {Priority: 1, Objective: later, IsReturned: true},
			"high, too late": {Priority: 1, Objective: now.Add(-time.Second)},
		}
		order := make(chan string, len(ranks))
		for name, rank := range ranks {
			go func() {
				if s := g.Acquire(t.Context(), Ask{}, rank, time.Hour); s != nil {
					order <- name
				}
			}()
		}
		synctest.Wait()
		for _, want := range []string{"high returned", "high soon", "high later", "high, too late", "low"} {
			g.Done(taken[0], Answered, time.Millisecond, time.Now())
			synctest.Wait()
			if got := <-order; got != want {
				t.Fatalf("served %q, want %q", got, want)
			}
		}
	})
}

func TestARequestThatLeavesTakesNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newTestGroup(0)
		now := time.Now()
		taken := takeAll(g, now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan *Server)
		go func() { done <- g.Acquire(ctx, Ask{}, Rank{}, time.Hour) }()
		synctest.Wait()
		cancel()
		if s := <-done; s != nil {
			t.Fatal("got a server after it left")
		}
		for _, s := range taken {
			g.GiveBack(s)
		}
		if taken[0].inFlight != 0 || g.Waiting() != 0 {
			t.Fatalf("%d in flight, %d waiting", taken[0].inFlight, g.Waiting())
		}
	})
}

func TestAWaitThatIsTooLongIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newTestGroup(0)
		now := time.Now()
		for s := g.Pick(now, Ask{}); s != nil; s = g.Pick(now, Ask{}) {
			continue
		}
		if s := g.Acquire(t.Context(), Ask{}, Rank{}, 5*time.Millisecond); s != nil || time.Since(now) != 0 {
			t.Fatalf("%v after %s", s, time.Since(now))
		}
	})
}

// A route that may be served in some regions only never reaches the others.
func TestRegionsBindTheServers(t *testing.T) {
	_, g := newTestGroup(3)
	ask := Ask{Allows: func(region string) bool { return region == "r1" }}
	for range 100 {
		s := g.Pick(time.Now(), ask)
		if s == nil {
			break
		}
		if s.entry().Region != "r1" {
			t.Fatalf("picked %s", s.ID())
		}
	}
	if g.HasServer(Ask{Allows: func(string) bool { return false }}) {
		t.Fatal("a server in no allowed region")
	}
}

// An entry that says draining, a server that is gone and a zone that is taken out
// get nothing from the next pick on; a new start forgets what was known.
func TestClosedServersGetNothing(t *testing.T) {
	f, g := newTestGroup(0)
	e := entry("near", "z0", "r0")
	e.Draining, e.Sequence = true, 2
	f.Update([]membership.Entry{e})
	if g.Pick(time.Now(), Ask{}) != nil {
		t.Fatal("a server that leaves got work")
	}
	f.Update([]membership.Entry{entry("near", "z0", "r0")})
	f.Evacuate(map[string]bool{"z0": true})
	if g.Pick(time.Now(), Ask{}) != nil {
		t.Fatal("a server of a zone that is taken out got work")
	}
	f.Evacuate(nil)
	s := g.Pick(time.Now(), Ask{})
	g.Done(s, Unreachable, 0, time.Now())
	reborn := entry("near", "z0", "r0")
	reborn.Born = 2
	f.Update([]membership.Entry{reborn})
	if again := g.Pick(time.Now(), Ask{}); again == s || again == nil {
		t.Fatal("what was known of the old start still counts")
	}
	if gone := f.Update(nil); len(gone) != 1 || g.Pick(time.Now(), Ask{}) != nil {
		t.Fatalf("forgot %v", gone)
	}
}

// A connection that the server resets at once bounds the requests there.
func TestCrowdedServerGetsNoFurtherConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, g := newTestGroup(0)
		a, b := g.Pick(time.Now(), Ask{}), g.Pick(time.Now(), Ask{})
		g.Done(b, Crowded, time.Millisecond, time.Now())
		if g.Pick(time.Now(), Ask{}) != nil {
			t.Fatal("a second connection right after a reset")
		}
		time.Sleep(2 * crowdedTime)
		g.Done(a, Answered, time.Millisecond, time.Now())
		if g.Pick(time.Now(), Ask{}) == nil {
			t.Fatal("no request after the time has passed")
		}
	})
}

// BenchmarkPick is the choice of the server for one request: it aims below 1 µs
// without an allocation.
func BenchmarkPick(b *testing.B) {
	_, g := newTestGroup(2)
	now := time.Now()
	ask := Ask{}
	b.ReportAllocs()
	for b.Loop() {
		g.GiveBack(g.Pick(now, ask))
	}
}
