package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// testView makes a view of one pool of groups of three with every server at its
// full level.
func testView(tb testing.TB, groups int) *View {
	var servers string
	for i := range 3 * groups {
		servers += fmt.Sprintf(`,{"id":"s%d","address":"10.0.%d.%d:1","data_centre":"d%d"}`, i, i/200, i%200, i%3)
	}
	document, err := table.Encode(1, table.NewSource(1, 1, "w", "n"),
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
	for i := range 3 * groups {
		id := fmt.Sprint("s", i)
		holding := upstream.Holding{Snapshot: 41, Shard: i / 3, Shards: groups}
		f.Observed(id, upstream.NewState([]upstream.Holding{holding}, id, 0, false))
		f.Learn(Knowledge{Server: id, Epoch: 1, Level: FullLevel, Holdings: []upstream.Holding{holding}})
	}
	return f.Build(c, hosts)
}

// takeAll takes servers until none has room and wants no share to be exceeded.
func takeAll(t *testing.T, s *SnapshotView) []*Tracker {
	var taken []*Tracker
	for {
		choice, ok := s.Choose(0, nil)
		if !ok {
			return taken
		}
		tr := choice.Tracker()
		taken = append(taken, tr)
		if tr.InFlight() > tr.Share() {
			t.Fatalf("%d requests at a share of %d", tr.InFlight(), tr.Share())
		}
	}
}

// TestChooseKeepsShares takes servers until none has room. Answers in time widen the
// windows, one request for each time that a window was full, until the shares bound
// them; late ones narrow them at once.
func TestChooseKeepsShares(t *testing.T) {
	s := testView(t, 1).Pool("p").Snapshot()
	share := s.Replicas(0)[0].Tracker().Share()
	answer := func(taken []*Tracker, d time.Duration) {
		for _, tr := range taken {
			tr.Succeeded(d, upstream.State{})
			tr.Release()
		}
	}
	for window := leastWindow; window <= share; window++ {
		taken := takeAll(t, s)
		if want := 3 * window; len(taken) != want {
			t.Fatalf("%d requests were placed, windows of %d allow %d", len(taken), window, want)
		}
		answer(taken, time.Millisecond)
	}
	taken := takeAll(t, s)
	if want := 3 * share; len(taken) != want {
		t.Fatalf("%d requests were placed, the shares allow %d", len(taken), want)
	}
	answer(taken, time.Millisecond)
	slow := s.Replicas(0)[1].Tracker()
	slow.Succeeded(streakFactor*time.Millisecond, upstream.State{})
	if n := slow.limit(); n != lateWindow {
		t.Errorf("%d requests may be at a server whose last answer was late", n)
	}
}

// TestLoadOfAllIsNotLate wants an answer that shares the slots with many others not to
// narrow the window: the replica beside it, which bears less, is not faster.
func TestLoadOfAllIsNotLate(t *testing.T) {
	s := testView(t, 1).Pool("p").Snapshot()
	loaded, idle := s.Replicas(0)[0].Tracker(), s.Replicas(0)[1].Tracker()
	loaded.Succeeded(8*time.Millisecond, upstream.NewState(nil, "", 23, false))
	idle.Succeeded(time.Millisecond, upstream.NewState(nil, "", 1, false))
	loaded.Succeeded(8*time.Millisecond, upstream.NewState(nil, "", 23, false))
	if n := loaded.limit(); n != leastWindow {
		t.Errorf("%d requests may be at a server that answers 24 in 8 times the time of one", n)
	}
	loaded.Succeeded(8*time.Millisecond, upstream.NewState(nil, "", 1, false))
	if n := loaded.limit(); n != lateWindow {
		t.Errorf("%d requests may be at a server that takes 8 times as long as another", n)
	}
}

func BenchmarkChooseOne(b *testing.B) {
	s := testView(b, 59).Pool("p").Snapshot()
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := s.Choose(7, nil)
		choice.Tracker().Release()
	}
}

func BenchmarkChooseQueryOf59(b *testing.B) {
	s := testView(b, 59).Pool("p").Snapshot()
	b.ReportAllocs()
	for b.Loop() {
		for shard := range 59 {
			choice, _ := s.Choose(shard, nil)
			choice.Tracker().Succeeded(time.Millisecond, upstream.State{})
			choice.Tracker().Release()
		}
	}
}
