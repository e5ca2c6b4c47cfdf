package engine

import (
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/internal/serving/quarantine"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// endServers makes servers end when they run a request.
func (sim *simulation) endServers(ids ...string) {
	sim.setBehaviour(behaviour{hasEnded: true}, ids...)
}

func (sim *simulation) allServers() []string {
	var ids []string
	for shard := range testShards {
		for dataCentre := range testDataCentres {
			ids = append(ids, serverID(shard, dataCentre))
		}
	}
	return ids
}

// A sharded request ends the servers that run it. An attempt may take one server of each
// shard and one more, and the third attempt reaches no server.
func TestRequestThatEndsServersIsHeldBack(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		sim.runLoad(t, e, 40, time.Second, shardedRoute(1))
		time.Sleep(5 * time.Second)
		sim.endServers(sim.allServers()...)
		for attempt := range 3 {
			sim.clearArrivals()
			req := newTestRequest(shardedRoute(1))
			req.Fingerprint = quarantine.Fingerprint{1}
			a := e.Run(t.Context(), req)
			time.Sleep(2 * testTimeout)
			sends := 0
			for _, n := range sim.countsOf(sim.arrivals) {
				sends += n
			}
			if most := []int{testShards + 1, testShards + 1, 0}[attempt]; sends > most {
				t.Errorf("attempt %d was sent to %d servers, want at most %d", attempt, sends, most)
			}
			if attempt == 2 && (a.Fault == nil || a.Fault.Kind() != fault.RequestQuarantined || a.Fault.Outcome() != fault.NotRun || a.RetryAfter == 0) {
				t.Errorf("the third attempt got %v, retry after %s", a.Fault, a.RetryAfter)
			}
		}
	})
}

// All near servers end at once beside a sound request, which is then answered by others.
func TestSoundRequestSurvivesEndOfItsServers(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		sim.runLoad(t, e, 40, time.Second, shardedRoute(1))
		for shard := range testShards {
			sim.endServers(serverID(shard, 0))
		}
		for attempt := range 20 {
			req := newTestRequest(shardedRoute(1))
			req.Fingerprint = quarantine.Fingerprint{2}
			req.Objective = req.Deadline
			if a := e.Run(t.Context(), req); a.Fault != nil && a.Fault.Kind() == fault.RequestQuarantined {
				t.Fatalf("attempt %d was held back", attempt)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// A forwarded request ends its server and the one of the extra send. A route with many
// attempts must not make it end more.
func TestForwardedRequestEndsTwoServersAtMost(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		sim.runLoad(t, e, 40, time.Second, shardedRoute(1))
		time.Sleep(5 * time.Second)
		sim.endServers(sim.allServers()...)
		sim.clearArrivals()
		req := newTestRequest(forwardRoute(true, 4))
		req.Fingerprint = quarantine.Fingerprint{3}
		a := e.Run(t.Context(), req)
		time.Sleep(2 * testTimeout)
		if n := sim.countsOf(sim.arrivals)[serviceName(0)]; n != maxEndedServers {
			t.Errorf("%d servers ended, want %d", n, maxEndedServers)
		}
		if a.Fault == nil || a.Fault.Outcome() != fault.Unknown {
			t.Errorf("got %v, want a fault with outcome unknown", a.Fault)
		}
		if got := e.Counters().Denied[Suspected].Load(); got == 0 {
			t.Error("no extra send was denied")
		}
		if got := e.Counters().Sends[fleet.Broken].Load(); got != maxEndedServers {
			t.Errorf("%d sends broke", got)
		}
	})
}
