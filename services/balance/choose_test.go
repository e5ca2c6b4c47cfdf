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

// TestChooseKeepsShares takes servers until none has room and wants no share to
// be exceeded.
func TestChooseKeepsShares(t *testing.T) {
	s := testView(t, 1).Pool("p").Snapshot()
	taken := 0
	for {
		choice, ok := s.Choose(0, nil)
		if !ok {
			break
		}
		taken++
		if tr := choice.Tracker(); tr.InFlight() > tr.Share() {
			t.Fatalf("%d requests at a share of %d", tr.InFlight(), tr.Share())
		}
	}
	if want := 3 * s.Replicas(0)[0].Tracker().Share(); taken != want {
		t.Fatalf("%d requests were placed, the shares allow %d", taken, want)
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
