package fleet

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

const (
	// shardRate is how many requests a second one host of a large fleet sends to one
	// shard: what it knows of a server comes from few replies.
	shardRate   = 1.3
	serviceTime = 8 * time.Millisecond
	farWay      = 16 * time.Millisecond
)

// placed sends requests to a group whose near server fails with a probability, and
// returns the share of the first sends that went to it.
func placed(t *testing.T, failing float64, requests int) float64 {
	near := 0
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		f, g := newTestGroup(2)
		f.Connected("near:80", time.Millisecond)
		f.Connected("far0:80", farWay)
		for range requests {
			time.Sleep(time.Duration(random.ExpFloat64() / shardRate * float64(time.Second)))
			s := g.Pick(time.Now(), Ask{})
			outcome, took := Answered, serviceTime+s.roundTrip
			if s.ID() == "near" {
				near++
				if random.Float64() < failing {
					outcome = Broken
				}
			}
			time.Sleep(took)
			g.Done(s, outcome, took, time.Now())
		}
	})
	return float64(near) / float64(requests)
}

// Servers lose or spoil one answer in fifty for some seconds. A second send mends
// each; keeping away from the near server costs bytes between regions and the way.
func TestStrayFailureKeepsTheNearServer(t *testing.T) {
	if share := placed(t, 0.02, 2000); share < 0.95 {
		t.Errorf("%.3f of the requests went to a near server that fails one in fifty", share)
	}
}

// A server that fails two of five requests while it looks healthy is left.
func TestFailingServerIsLeft(t *testing.T) {
	if share := placed(t, 0.4, 2000); share > 0.25 {
		t.Errorf("%.3f of the requests went to a near server that fails two of five", share)
	}
	if share := placed(t, 1, 2000); share > 0.15 {
		t.Errorf("%.3f of the requests went to a near server that fails all", share)
	}
}

// A shard's near server pauses, and a second send has 40 ms left. Of two equal servers
// in other regions only one is connected; opening a connection to the other takes the
// way there and back once more, and 6 ms of a slot.
func TestSecondSendGoesWhereAConnectionIsOpen(t *testing.T) {
	const left = 40 * time.Millisecond
	for _, connected := range []string{"far0:80", "far1:80"} {
		f := New(Place{Host: "h", Zone: "z0", Region: "r0"})
		f.CountConnections(func(address string) bool { return address == connected })
		f.Update([]membership.Entry{entry("far0", "z1", "r1"), entry("far1", "z2", "r2")})
		f.Connected("far0:80", farWay)
		f.Connected("far1:80", farWay)
		took := farWay + serviceTime
		if s := f.Group("s").Pick(time.Now(), Ask{}); s.Address() != connected {
			took += s.roundTrip + openCost
		}
		if took > left {
			t.Errorf("connected to %s: the reply takes %s", connected, took)
		}
	}
}

// A newer entry comes in while requests read the one they were placed by.
func TestEntriesComeInWhileRequestsReadThem(t *testing.T) {
	f, g := newTestGroup(0)
	s := g.Pick(time.Now(), Ask{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 1000 {
			e := entry("near", "z0", "r0")
			e.Sequence = int64(i)
			f.Update([]membership.Entry{e})
		}
	}()
	for range 1000 {
		if s.ID() != "near" || s.Address() != "near:80" {
			t.Fatalf("%q at %q", s.ID(), s.Address())
		}
	}
	<-done
}
