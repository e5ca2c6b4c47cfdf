package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

const (
	coldTime = 3 * time.Second
	// coldBound is what a cold server of the test bears, less than the usual load.
	coldBound = 40
)

// peersOf returns hosts in three regions in turn.
func peersOf(n int) []Peer {
	peers := make([]Peer, n)
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprint("h", i), Region: fmt.Sprint("r", i%3)}
	}
	return peers
}

func TestSharesOfAColdServerAddUp(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 80, 950} {
		for _, limit := range []int{1, 3, 45, 300} {
			sum, near := 0, 0
			for _, p := range peersOf(n) {
				share := coldShare("s", "r0", p.Name, peersOf(n), limit)
				sum += share
				if p.Region == "r0" {
					near += share
				}
			}
			if sum != limit {
				t.Errorf("%d hosts may send %d a second to a server that bears %d", n, sum, limit)
			}
			if 2*near < limit {
				t.Errorf("%d hosts: those of the server's region may send %d of %d", n, near, limit)
			}
		}
	}
	if share := coldShare("s", "r0", "unknown", peersOf(8), 45); share != 0 {
		t.Errorf("a host that is not among the peers may send %d", share)
	}
}

// coldFleets are the hosts of three regions with one server of a service in each.
type coldFleets struct {
	fleets  []*Fleet
	entries []membership.Entry
	// sent are the times of the requests at the first server.
	sent []time.Time
	// served are the requests that found a server at once, asked all.
	served, asked int
}

func newColdFleets(limits map[string]ColdLimit) *coldFleets {
	w := &coldFleets{}
	for i := range 3 {
		w.entries = append(w.entries, entry(fmt.Sprint("s", i), fmt.Sprint("z", i), fmt.Sprint("r", i)))
		w.entries[i].Capacity = 3
	}
	peers := peersOf(8)
	for i, p := range peers {
		f := New(Place{Host: p.Name, Zone: fmt.Sprint("z", i%3), Region: p.Region})
		f.SetPeers(peers)
		f.LimitCold(limits)
		f.Update(w.entries)
		w.fleets = append(w.fleets, f)
	}
	return w
}

func (w *coldFleets) update() {
	for _, f := range w.fleets {
		f.Update(w.entries)
	}
}

// load sends requests at a rate at random hosts.
func (w *coldFleets) load(d time.Duration, perSecond float64, work func(s *Server) (Outcome, time.Duration)) {
	random := rand.New(rand.NewPCG(3, 4))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		g := w.fleets[random.IntN(len(w.fleets))].Group("s")
		w.asked++
		s := g.Pick(time.Now(), Ask{})
		if s == nil {
			continue
		}
		w.served++
		outcome, took := work(s)
		if s.ID() == w.entries[0].ID && outcome == Answered {
			w.sent = append(w.sent, time.Now())
		}
		time.AfterFunc(took, func() { g.Done(s, outcome, took, time.Now()) })
	}
	time.Sleep(time.Second)
}

// busiest returns the most requests in any second.
func (w *coldFleets) busiest() int {
	most, first := 0, 0
	for i, at := range w.sent {
		for at.Sub(w.sent[first]) >= time.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// coldLoad is the usual load of the test, two thirds of it at the first server's region.
const coldLoad = 240

func answers(s *Server) (Outcome, time.Duration) { return Answered, serviceTime + s.roundTrip }

// check judges a cold server that came back under load.
func (w *coldFleets) check(t *testing.T) {
	t.Helper()
	if most := w.busiest(); most > coldBound {
		t.Errorf("%d requests in one second at a cold server that bears %d", most, coldBound)
	}
	if least := coldBound * 3 / 5 * int(coldTime.Seconds()); len(w.sent) < least {
		t.Errorf("%d requests at a cold server in %s that bears %d a second", len(w.sent), coldTime, coldBound)
	}
	if w.served < w.asked {
		t.Errorf("%d of %d requests found a server", w.served, w.asked)
	}
}

// A server starts under load: all hosts know from its entry that it is cold.
func TestColdServerGetsWhatItBears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newColdFleets(map[string]ColdLimit{"s": {coldBound, coldTime}})
		w.entries[0].ID, w.entries[0].Born = "s0-again", 2
		w.entries[0].ColdUntil = time.Now().Add(coldTime)
		w.update()
		w.load(coldTime, coldLoad, answers)
		w.check(t)
	})
}

// Without a limit all hosts turn to the server at once. This is what the test above
// and those below are seen to fail with.
func TestColdServerWithoutLimitGetsTooMuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newColdFleets(nil)
		w.load(coldTime, coldLoad, answers)
		if most := w.busiest(); most <= coldBound {
			t.Errorf("%d requests in the busiest second", most)
		}
	})
}

// A zone's servers may have cooled down while it was out, and their entries may come
// later than the end of the evacuation.
func TestServerIsColdAfterAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newColdFleets(map[string]ColdLimit{"s": {coldBound, coldTime}})
		for _, out := range []map[string]bool{{"z0": true}, {}} {
			for _, f := range w.fleets {
				f.Evacuate(out)
			}
		}
		w.load(coldTime, coldLoad, answers)
		w.check(t)
	})
}

// A server that crashed may start again under its ID, and answer before its entry says
// so.
func TestServerIsColdAfterACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newColdFleets(map[string]ColdLimit{"s": {coldBound, coldTime}})
		back := time.Now().Add(2 * time.Second)
		w.load(2*time.Second+coldTime, 3*coldLoad, func(s *Server) (Outcome, time.Duration) {
			if s.ID() == "s0" && time.Now().Before(back) {
				return Unreachable, time.Millisecond
			}
			return answers(s)
		})
		if most := w.busiest(); most > coldBound {
			t.Errorf("%d requests in one second at a cold server that bears %d", most, coldBound)
		}
	})
}

// Only cold servers are left: a request waits for the next one that they bear, though
// nothing ends then that would wake it.
func TestRequestWaitsForAColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(Place{Host: "h", Zone: "z0", Region: "r0"})
		f.SetPeers([]Peer{{Name: "h", Region: "r0"}})
		f.LimitCold(map[string]ColdLimit{"s": {1, coldTime}})
		e := entry("near", "z0", "r0")
		e.ColdUntil = time.Now().Add(coldTime)
		f.Update([]membership.Entry{e})
		g := f.Group("s")
		start := time.Now()
		g.Done(g.Pick(start, Ask{}), Answered, time.Millisecond, start)
		rank := Rank{Objective: start.Add(time.Minute)}
		if s := g.Acquire(t.Context(), Ask{}, rank, time.Minute); s == nil {
			t.Fatal("no server")
		}
		if waited := time.Since(start); waited != coldWindow {
			t.Errorf("waited %s", waited)
		}
		if s := g.Acquire(t.Context(), Ask{}, rank, coldWindow); s != nil {
			t.Error("a request waited for longer than its patience")
		}
	})
}
