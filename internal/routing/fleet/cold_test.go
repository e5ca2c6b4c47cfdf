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
	// coldRate is the limit on requests to a cold server in the tests, in requests a
	// second. Without a limit, the load of the tests would exceed it.
	coldRate = 40
)

// newPeers returns n hosts that are spread evenly over three regions.
func newPeers(n int) []Peer {
	peers := make([]Peer, n)
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprint("h", i), Region: fmt.Sprint("r", i%3)}
	}
	return peers
}

func TestColdSharesAddUpToLimit(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 80, 950} {
		for _, limit := range []int{1, 3, 45, 300} {
			sum, near := 0, 0
			for _, p := range newPeers(n) {
				share := coldShare("s", "r0", p.Name, newPeers(n), limit)
				sum += share
				if p.Region == "r0" {
					near += share
				}
			}
			if sum != limit {
				t.Errorf("%d hosts may send %d requests a second to a server with a limit of %d", n, sum, limit)
			}
			if 2*near < limit {
				t.Errorf("%d hosts: those in the server's region may send %d of %d requests a second", n, near, limit)
			}
		}
	}
	if share := coldShare("s", "r0", "unknown", newPeers(8), 45); share != 0 {
		t.Errorf("a host that is not among the peers may send %d requests a second", share)
	}
}

// coldScenario holds hosts in three regions and one server of a service in each region.
type coldScenario struct {
	fleets  []*Fleet
	entries []membership.Entry
	// sent holds the send times of the requests that were answered by the first server,
	// the server of entries[0].
	sent []time.Time
	// served counts the requests for which Pick found a server at once, and offered
	// counts all requests.
	served, offered int
}

func newColdScenario(limits map[string]ColdLimit) *coldScenario {
	w := &coldScenario{}
	for i := range 3 {
		w.entries = append(w.entries, newEntry(fmt.Sprint("s", i), fmt.Sprint("z", i), fmt.Sprint("r", i)))
		w.entries[i].Capacity = 3
	}
	peers := newPeers(8)
	for i, p := range peers {
		f := New(Locality{Host: p.Name, DataCentre: fmt.Sprint("z", i%3), Region: p.Region})
		f.SetPeers(peers)
		f.SetColdLimits(limits)
		f.Update(w.entries)
		w.fleets = append(w.fleets, f)
	}
	return w
}

func (w *coldScenario) update() {
	for _, f := range w.fleets {
		f.Update(w.entries)
	}
}

// load sends requests to random hosts for the time d, on average perSecond requests a
// second. work returns the outcome and the duration of a request to a server.
func (w *coldScenario) load(d time.Duration, perSecond float64, work func(s *Server) (Outcome, time.Duration)) {
	random := rand.New(rand.NewPCG(3, 4))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		g := w.fleets[random.IntN(len(w.fleets))].Group("s")
		w.offered++
		s := g.Pick(time.Now(), Filter{})
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

// maxPerSecond returns the largest number of requests that the first server answered
// within any second.
func (w *coldScenario) maxPerSecond() int {
	most, first := 0, 0
	for i, at := range w.sent {
		for at.Sub(w.sent[first]) >= time.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// usualRequestsPerSecond is the usual load of the tests in requests a second. Three of
// the eight hosts, and so three eighths of the load, are in the first server's region.
const usualRequestsPerSecond = 240

func answerAsUsual(s *Server) (Outcome, time.Duration) { return Answered, serviceTime + s.roundTrip }

// checkFirstServer verifies that every request found a server at once. It also verifies
// that the first server, which must have been cold since the start of the load,
// answered at most coldRate requests in any second and, over coldTime, at least three
// fifths of the requests that this rate allows.
func (w *coldScenario) checkFirstServer(t *testing.T) {
	t.Helper()
	if most := w.maxPerSecond(); most > coldRate {
		t.Errorf("got %d requests in one second at a cold server with a limit of %d", most, coldRate)
	}
	if least := coldRate * 3 / 5 * int(coldTime.Seconds()); len(w.sent) < least {
		t.Errorf("got only %d requests in %s at a cold server with a limit of %d a second", len(w.sent), coldTime, coldRate)
	}
	if w.served < w.offered {
		t.Errorf("only %d of %d requests found a server at once", w.served, w.offered)
	}
}

// A server starts while the hosts send requests, and all hosts know from its entry that
// it is cold. The requests of all hosts together must stay within the limit for a cold
// server and use at least three fifths of it.
func TestColdServerGetsRequestsUpToLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newColdScenario(map[string]ColdLimit{"s": {coldRate, coldTime}})
		w.entries[0].ID, w.entries[0].StartUnixMs = "s0-again", 2
		w.entries[0].ColdUntil = time.Now().Add(coldTime)
		w.update()
		w.load(coldTime, usualRequestsPerSecond, answerAsUsual)
		w.checkFirstServer(t)
	})
}

// Without a limit, the first server must get more than coldRate requests in its busiest
// second. This confirms that the load of the other tests exceeds the limit.
func TestColdServerWithoutLimitIsOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newColdScenario(nil)
		w.load(coldTime, usualRequestsPerSecond, answerAsUsual)
		if most := w.maxPerSecond(); most <= coldRate {
			t.Errorf("got only %d requests in the busiest second", most)
		}
	})
}

// The evacuation of a data centre ends. Its servers may be cold, because they received no
// requests, and their entries may say so only later. The hosts must keep to the limit for
// cold servers from the end of the evacuation on.
func TestServerIsColdAfterEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newColdScenario(map[string]ColdLimit{"s": {coldRate, coldTime}})
		for _, out := range []map[string]bool{{"z0": true}, {}} {
			for _, f := range w.fleets {
				f.Evacuate(out)
			}
		}
		w.load(coldTime, usualRequestsPerSecond, answerAsUsual)
		w.checkFirstServer(t)
	})
}

// A server that crashed may restart under the same ID and answer before its entry says
// that it is cold. From the server's first answer on, the hosts must keep to the limit
// for cold servers.
func TestServerIsColdAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newColdScenario(map[string]ColdLimit{"s": {coldRate, coldTime}})
		back := time.Now().Add(2 * time.Second)
		w.load(2*time.Second+coldTime, 3*usualRequestsPerSecond, func(s *Server) (Outcome, time.Duration) {
			if s.ID() == "s0" && time.Now().Before(back) {
				return Unreachable, time.Millisecond
			}
			return answerAsUsual(s)
		})
		if most := w.maxPerSecond(); most > coldRate {
			t.Errorf("got %d requests in one second at a cold server with a limit of %d", most, coldRate)
		}
	})
}

// The only server is cold, and the limit on requests to it is used up. A request must
// wait until the server may receive its next request and must be assigned the server
// then, although no other request ends at that moment.
func TestAcquireWaitsForColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(Locality{Host: "h", DataCentre: "z0", Region: "r0"})
		f.SetPeers([]Peer{{Name: "h", Region: "r0"}})
		f.SetColdLimits(map[string]ColdLimit{"s": {1, coldTime}})
		e := newEntry("near", "z0", "r0")
		e.ColdUntil = time.Now().Add(coldTime)
		f.Update([]membership.Entry{e})
		g := f.Group("s")
		start := time.Now()
		g.Done(g.Pick(start, Filter{}), Answered, time.Millisecond, start)
		rank := Rank{Objective: start.Add(time.Minute)}
		if s := g.Acquire(t.Context(), Filter{}, rank, time.Minute); s == nil {
			t.Fatal("got no server")
		}
		if waited := time.Since(start); waited != coldWindow {
			t.Errorf("waited %s, want the cold window", waited)
		}
		if s := g.Acquire(t.Context(), Filter{}, rank, coldWindow); s != nil {
			t.Error("a request got a server although the expected wait exceeds its maximum")
		}
	})
}
