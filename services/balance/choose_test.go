package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// testView returns a view of one pool with the given number of shards and three replicas of each.
// Every server has finished its ramp-up, so the ramp-up does not limit its requests.
func testView(tb testing.TB, shards int) *View {
	var servers string
	for i := range 3 * shards {
		servers += fmt.Sprintf(`,{"id":"s%d","address":"10.0.%d.%d:1","data_centre":"d%d"}`, i, i/200, i%200, i%3)
	}
	document, err := table.Encode(1, table.NewProvenance(1, 1, "w", "n"),
		[]byte(`{"routes":[{"name":"r","pool":"p","idempotent":true}]}`),
		[]byte(`{"pools":[{"name":"p","slots":3,"connections":30,"upstreams":[`+servers[1:]+`]}]}`))
	if err != nil {
		tb.Fatal(err)
	}
	c, _, err := table.Decode(document)
	if err != nil {
		tb.Fatal(err)
	}
	hosts := []Host{NewHost("h0", "d0"), NewHost("h1", "d1")}
	f := NewFleet("h0", "d0", Policy{})
	f.Build(c, hosts)
	for i := range 3 * shards {
		id := fmt.Sprint("s", i)
		holding := upstream.Holding{Snapshot: 41, Shard: i / 3, Shards: shards}
		f.ObserveState(id, upstream.NewState([]upstream.Holding{holding}, id, 0, false))
		f.Merge(Knowledge{Server: id, Epoch: 1, Level: FullLevel, Holdings: []upstream.Holding{holding}})
	}
	return f.Build(c, hosts)
}

// acquireAll chooses servers of shard 0 until none has capacity, and fails the test if this host
// has more requests in flight at a server than its share allows.
func acquireAll(t *testing.T, s *SnapshotView) []*Tracker {
	var taken []*Tracker
	for {
		choice, ok := s.Choose(0, nil)
		if !ok {
			return taken
		}
		tr := choice.Tracker()
		taken = append(taken, tr)
		if tr.InFlight() > tr.Share() {
			t.Fatalf("server has %d requests in flight, more than the share of %d", tr.InFlight(), tr.Share())
		}
	}
}

// TestChooseRespectsWindowsAndShares repeatedly fills the windows of three replicas. A window is
// this host's limit on its requests in flight at a server. Choose must place requests until the
// windows are full. Each time the three servers answer equally fast, the windows must widen by
// one, until they are as wide as this host's share of each server. A very late answer must narrow
// the window of its server at once.
func TestChooseRespectsWindowsAndShares(t *testing.T) {
	s := testView(t, 1).Pool("p").Snapshot()
	share := s.Replicas(0)[0].Tracker().Share()
	answer := func(taken []*Tracker, d time.Duration) {
		for _, tr := range taken {
			tr.RecordSuccess(d, upstream.State{})
			tr.Release()
		}
	}
	for window := idleWindow; window <= share; window++ {
		taken := acquireAll(t, s)
		if want := 3 * window; len(taken) != want {
			t.Fatalf("Choose placed %d requests with windows of %d, want %d", len(taken), window, want)
		}
		answer(taken, time.Millisecond)
	}
	taken := acquireAll(t, s)
	if want := 3 * share; len(taken) != want {
		t.Fatalf("Choose placed %d requests with windows as wide as the shares, want %d", len(taken), want)
	}
	answer(taken, time.Millisecond)
	slow := s.Replicas(0)[1].Tracker()
	slow.RecordSuccess(veryLateFactor*time.Millisecond, upstream.State{})
	if n := slow.limit(); n != lateWindow {
		t.Errorf("limit = %d at a server whose last answer was very late", n)
	}
}

// TestWindowKeptWhenReportedLoadExplainsLatency compares a loaded server with an idle replica.
// The loaded server answers later only because many requests share its slots; its service time,
// for which a request occupies a slot, is no longer. Its window, this host's limit on its
// requests in flight, must not narrow. When it answers as late without such a load, its window
// must narrow.
func TestWindowKeptWhenReportedLoadExplainsLatency(t *testing.T) {
	s := testView(t, 1).Pool("p").Snapshot()
	loaded, idle := s.Replicas(0)[0].Tracker(), s.Replicas(0)[1].Tracker()
	loaded.RecordSuccess(8*time.Millisecond, upstream.NewState(nil, "", 23, false))
	idle.RecordSuccess(time.Millisecond, upstream.NewState(nil, "", 1, false))
	loaded.RecordSuccess(8*time.Millisecond, upstream.NewState(nil, "", 23, false))
	if n := loaded.limit(); n != idleWindow {
		t.Errorf("limit = %d at a server that answers 24 requests in 8 times the time of one", n)
	}
	loaded.RecordSuccess(8*time.Millisecond, upstream.NewState(nil, "", 1, false))
	if n := loaded.limit(); n != lateWindow {
		t.Errorf("limit = %d at a server that takes 8 times as long as another replica", n)
	}
}

func BenchmarkChooseOneShard(b *testing.B) {
	s := testView(b, 59).Pool("p").Snapshot()
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := s.Choose(7, nil)
		choice.Tracker().Release()
	}
}

func BenchmarkChoose59Shards(b *testing.B) {
	s := testView(b, 59).Pool("p").Snapshot()
	b.ReportAllocs()
	for b.Loop() {
		for shard := range 59 {
			choice, _ := s.Choose(shard, nil)
			choice.Tracker().RecordSuccess(time.Millisecond, upstream.State{})
			choice.Tracker().Release()
		}
	}
}
