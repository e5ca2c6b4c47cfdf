package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

// A server states in an answer that it leaves, while this host reads entries that say
// "ready": an older one from a list, none during an outage of the store, the same again.
// It must get no request until an entry of its next start arrives.
func TestLeavingServerGetsNoRequestUntilItStartsAgain(t *testing.T) {
	f, g := newTestGroup(0)
	near := newEntry("near", "z0", "r0")
	now := time.Now()
	s := g.Pick(now, Filter{})
	g.ObserveNotice(s, Notice{IsLeaving: true}, now)
	g.Done(s, Answered, time.Millisecond, now)
	older, newer := near, near
	older.Sequence, newer.Sequence = 0, 5
	moved := near
	moved.Address = "elsewhere:80"
	for name, entries := range map[string][]membership.Entry{
		"same": {near}, "older": {older}, "newer": {newer}, "moved": {moved}, "missing": nil,
	} {
		f.Update(entries)
		f.Update([]membership.Entry{near})
		if got := g.Pick(now.Add(time.Hour), Filter{}); got != nil {
			t.Fatalf("after the entry %q the leaving server got a request", name)
		}
	}
	restarted := near
	restarted.StartUnixMs++
	f.Update([]membership.Entry{restarted})
	if g.Pick(now, Filter{}) == nil {
		t.Fatal("the server got no request after it had started again")
	}
}

// An answer of the former incarnation arrives after the server has started again and has
// asked for a rest. It must not replace the notice of the new incarnation.
func TestNoticeOfFormerIncarnationIsIgnored(t *testing.T) {
	f, g := newTestGroup(0)
	now := time.Now()
	former := g.Pick(now, Filter{})
	restarted := newEntry("near", "z0", "r0")
	restarted.StartUnixMs++
	f.Update([]membership.Entry{restarted})
	s := g.Pick(now, Filter{})
	g.ObserveNotice(s, Notice{RestTime: time.Second}, now)
	g.ObserveNotice(former, Notice{IsLeaving: true}, now)
	f.Update(nil)
	f.Update([]membership.Entry{restarted})
	if g.Pick(now.Add(500*time.Millisecond), Filter{}) != nil {
		t.Error("the server got a request while it wanted none")
	}
	if g.Pick(now.Add(1100*time.Millisecond), Filter{}) == nil {
		t.Error("the server got no request after its rest")
	}
}

// Requests wait for the only server when it refuses one and asks for a rest. Those that can
// still be answered in time wait until its end; the others end at once.
func TestWaitersOfRestingServer(t *testing.T) {
	for _, c := range []struct {
		rest, maxWait time.Duration
		isServed      bool
	}{
		{rest: 100 * time.Millisecond, maxWait: 300 * time.Millisecond, isServed: true},
		{rest: 2 * time.Second, maxWait: 300 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			_, g := newTestGroup(0)
			taken := pickAll(g, time.Now())
			start := time.Now()
			result := make(chan *Server)
			go func() {
				result <- g.Acquire(t.Context(), Filter{}, Rank{Objective: start.Add(time.Second)}, c.maxWait)
			}()
			synctest.Wait()
			g.ObserveNotice(taken[0], Notice{RestTime: c.rest}, time.Now())
			for _, s := range taken {
				g.Done(s, Refused, time.Millisecond, time.Now())
			}
			s := <-result
			took := time.Since(start)
			switch {
			case c.isServed && (s == nil || took < c.rest || took > c.rest+10*time.Millisecond):
				t.Errorf("rest %s: served %t after %s", c.rest, s != nil, took)
			case !c.isServed && (s != nil || took > 10*time.Millisecond):
				t.Errorf("rest %s, longer than the request can wait: served %t after %s", c.rest, s != nil, took)
			}
		})
	}
}

// All servers of a service want no requests for a time. A new request is refused at once if
// it can't be answered in time after that, and its client is told when to come back.
func TestRetryAfterOfRestingServers(t *testing.T) {
	_, g := newTestGroup(1)
	now := time.Now()
	for rest := 800 * time.Millisecond; ; rest += time.Second {
		s := g.Pick(now, Filter{})
		if s == nil {
			break
		}
		g.ObserveNotice(s, Notice{RestTime: rest}, now)
		g.Done(s, Refused, time.Millisecond, now)
	}
	if s, mayWait := g.TryAcquire(now, Filter{}, Rank{}, 300*time.Millisecond); s != nil || mayWait {
		t.Errorf("got server %v, may wait %t; want neither", s, mayWait)
	}
	if _, mayWait := g.TryAcquire(now, Filter{}, Rank{}, time.Second); !mayWait {
		t.Error("a request that can be answered after the rest may not wait")
	}
	if got := g.RetryAfter(now, Filter{}, time.Second); got != 800*time.Millisecond {
		t.Errorf("the client is told %s, want 800ms", got)
	}
	if got := g.RetryAfter(now, Filter{}, 500*time.Millisecond); got != maxRetryAfter {
		t.Errorf("the client whose time ends before the rest is told %s, want %s", got, maxRetryAfter)
	}
}

// Notices of many servers, and repeated ones, must not grow without bound.
func TestNoticesAreBounded(t *testing.T) {
	var n notices
	for i := range 3 * maxNotices {
		e := newEntry("i-"+time.Duration(i).String(), "z0", "r0")
		n.record(newServer(e, SameDataCentre, "h"))
		n.record(newServer(e, SameDataCentre, "h"))
	}
	if len(n.byID) != maxNotices || len(n.order) != maxNotices {
		t.Errorf("%d notices of %d IDs are kept, want %d", len(n.byID), len(n.order), maxNotices)
	}
}

func BenchmarkPickWithNotices(b *testing.B) {
	_, g := newTestGroup(2)
	now := time.Now()
	leaving := g.Pick(now, Filter{})
	g.ObserveNotice(leaving, Notice{IsLeaving: true}, now)
	resting := g.Pick(now, Filter{})
	g.ObserveNotice(resting, Notice{RestTime: time.Hour}, now)
	for b.Loop() {
		g.ReleaseUnused(g.Pick(now, Filter{}))
	}
}
