package engine

import (
	"context"
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/catalog"
	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// Each server pauses for 250 ms every 6 s, each at a different time. A third of all
// requests to ten shards meet a pause (on all days of the escape rooms). At least 98 %
// of the answers must still be whole: complete and ready by the latency objective.
func TestServerPausesLeaveMostAnswersWhole(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		start := time.Now()
		for shard := range testShards {
			for dataCentre := range testDataCentres {
				phase := time.Duration(shard*testDataCentres+dataCentre) * 200 * time.Millisecond
				sim.setBehaviour(behaviour{pauseLeft: func(now time.Time) time.Duration {
					at := (now.Sub(start) + phase) % (6 * time.Second)
					return max(250*time.Millisecond-at, 0)
				}}, serverID(shard, dataCentre))
			}
		}
		result := sim.runLoad(t, e, 40, 20*time.Second, shardedRoute(1))["sweep1"]
		if result.whole < 784 || result.lost > 0 {
			t.Fatalf("%d whole, %d partial, %d late, %d lost of 800; want 98 %% whole", result.whole, result.partial, result.late, result.lost)
		}
		for service, n := range sim.countsOf(sim.arrivals) {
			if n > 800+800*15/100+3 {
				t.Fatalf("%s got %d sends for 800 requests", service, n)
			}
		}
	})
}

// All servers of a shard stop responding at once (fault srv_crash, dark all). Once the
// host considers these servers down, it must answer without that shard instead of
// waiting for a reply of it.
func TestAnswerDoesNotWaitForDownShard(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		sim.runLoad(t, e, 40, time.Second, shardedRoute(1))
		sim.setBehaviour(behaviour{isSilent: true}, serverID(4, 0), serverID(4, 1), serverID(4, 2))
		sim.runLoad(t, e, 40, 2*time.Second, shardedRoute(1))
		result := sim.runLoad(t, e, 40, 2*time.Second, shardedRoute(1))["sweep1"]
		// Now and then a request is sent to one of these servers to probe whether the
		// server has recovered. Such a request waits for the reply until its latency
		// objective.
		if result.partial < 80 || result.lost > 0 {
			t.Fatalf("%d whole, %d partial, %d late, %d lost of 80; want 80 partial", result.whole, result.partial, result.late, result.lost)
		}
		start := time.Now()
		e.Run(t.Context(), newTestRequest(shardedRoute(1)))
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Fatalf("an answer took %s with one shard down, want at most 100 ms", took)
		}
	})
}

// Half of the servers refuse six in ten requests (fault srv_grey, shed across). First
// sends must avoid these servers, because the budget for extra sends does not allow one
// for each refusal.
func TestSheddingServersAreAvoided(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		for shard := range testShards {
			sim.setBehaviour(behaviour{shedShare: 0.6}, serverID(shard, shard%2))
		}
		sim.runLoad(t, e, 40, 2*time.Second, shardedRoute(1))
		sim.clearArrivals()
		result := sim.runLoad(t, e, 40, 10*time.Second, shardedRoute(1))["sweep1"]
		if result.whole+result.partial < 396 {
			t.Fatalf("%d whole, %d partial, %d late, %d lost of 400; want 99 %% in time", result.whole, result.partial, result.late, result.lost)
		}
		for service, n := range sim.countsOf(sim.arrivals) {
			if n > 400+400*16/100 {
				t.Fatalf("%s got %d sends for 400 requests, more than 0.8 of the budget", service, n)
			}
		}
	})
}

// Every server refuses all requests for some time. The extra sends must stay within the
// budget.
func TestExtraSendsStayWithinBudget(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		for shard := range testShards {
			for dataCentre := range testDataCentres {
				sim.setBehaviour(behaviour{refusesAll: true}, serverID(shard, dataCentre))
			}
		}
		sim.runLoad(t, e, 40, 10*time.Second, shardedRoute(1))
		for service, n := range sim.countsOf(sim.arrivals) {
			if n > 400+400*16/100+testBurst {
				t.Fatalf("%s got %d sends for 400 requests", service, n)
			}
		}
	})
}

// All servers start again at their addresses under new IDs, again and again, and each time
// the host learns of the IDs one restart later. Sends that other servers reject count as
// arrivals.
func TestMisdirectedSendsStayWithinBudget(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		const rounds = 40
		sim := newSimulation()
		e := New(sim.fleet, sim)
		for id := range sim.servers {
			sim.setBehaviour(behaviour{misdirects: true}, id)
		}
		for round := range rounds {
			sim.restart(int64(round))
			e.Run(t.Context(), newTestRequest(shardedRoute(1)))
		}
		for service, n := range sim.countsOf(sim.extras) {
			if n > rounds*20/100+testBurst {
				t.Errorf("%s got %d sends beyond the first of %d requests", service, n, rounds)
			}
		}
	})
}

// testBurst is one host's share of the extra sends that the deployments allow beyond a
// fixed share of the requests. Together the 16 hosts are allowed 52 such sends.
const testBurst = 3

// One shard is down. Another has a single server left, which is six times as slow as
// usual, so that only some requests can be answered in time. The other requests must be
// refused before anything is sent, so that the capacity goes to the requests that can be
// answered (jeroa-find, scale-1, seconds 6 to 11).
func TestScarceShardIsUsedToCapacity(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		sim.runLoad(t, e, 40, time.Second, shardedRoute(1))
		sim.setBehaviour(behaviour{isSilent: true}, serverID(4, 0), serverID(4, 1), serverID(4, 2), serverID(5, 1), serverID(5, 2))
		sim.setBehaviour(behaviour{slowdown: 6}, serverID(5, 0))
		sim.runLoad(t, e, 100, 3*time.Second, shardedRoute(1))
		sim.clearArrivals()
		result := sim.runLoad(t, e, 100, 5*time.Second, shardedRoute(1))["sweep1"]
		// Three slots, each busy for 90 ms with one request, serve 33 requests a second.
		if good := result.whole + result.partial; good < 100 {
			t.Fatalf("%d answered in time, %d late, %d refused or lost of 500; want 60 %% of the capacity of the slow server", good, result.late, result.lost)
		}
		if n := sim.countsOf(sim.arrivals)[serviceName(0)]; n > 250 {
			t.Fatalf("a healthy shard got %d sends for 500 requests, most of which could not be answered", n)
		}
	})
}

func TestAnswerLeavesAtObjectiveWithOneShardMissing(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		for dataCentre := range testDataCentres {
			sim.setBehaviour(behaviour{slowdown: 60}, serverID(3, dataCentre))
		}
		start := time.Now()
		a := e.Run(t.Context(), newTestRequest(shardedRoute(1)))
		if a.Fault != nil || a.Missing != 1 || time.Since(start) != testObjective {
			t.Fatalf("fault %v, %d missing after %s; want no fault and 1 missing", a.Fault, a.Missing, time.Since(start))
		}
	})
}

// Two of ten shards are slow, and a successful answer requires a reply of at least one
// of them. The answer is ready only after the latency objective but must still be
// delivered.
func TestLateAnswersAreDelivered(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		for dataCentre := range testDataCentres {
			sim.setBehaviour(behaviour{slowdown: 20}, serverID(3, dataCentre), serverID(5, dataCentre))
		}
		start := time.Now()
		a := e.Run(t.Context(), newTestRequest(shardedRoute(1)))
		took := time.Since(start)
		if a.Fault != nil || a.Missing != 1 || took <= testObjective || took > 500*time.Millisecond {
			t.Fatalf("fault %v, %d missing after %s; want no fault and 1 missing", a.Fault, a.Missing, took)
		}
	})
}

// The load is twice what the servers can serve. The more urgent route must be served
// first, and requests that can't be served must be refused at once.
func TestOverloadFavoursUrgentRoute(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		for shard := range testShards {
			for dataCentre := range testDataCentres {
				sim.setBehaviour(behaviour{slowdown: 6}, serverID(shard, dataCentre))
			}
		}
		result := sim.runLoad(t, e, 200, 4*time.Second, shardedRoute(0), shardedRoute(2))
		urgent, other := result["sweep0"], result["sweep2"]
		if good, otherGood := urgent.whole+urgent.partial, other.whole+other.partial; good < otherGood {
			t.Fatalf("%d answers in time on the urgent route, %d on the other", good, otherGood)
		}
		if urgent.lost > other.lost {
			t.Fatalf("%d requests lost on the urgent route, %d on the other", urgent.lost, other.lost)
		}
	})
}

func forwardRoute(idempotent bool, attempts int) *catalog.Route {
	return &catalog.Route{
		Name: "desk", Idempotent: idempotent, Timeout: testTimeout, Objective: testObjective, MaxAttempts: attempts,
		WeightedServices: []catalog.WeightedService{{Service: serviceName(0), Weight: 1}},
	}
}

// forwardRuns returns the number of requests that servers have run for the forwarded
// route.
func (sim *simulation) forwardRuns() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	n := 0
	for dataCentre := range testDataCentres {
		n += sim.runs[serverID(0, dataCentre)]
	}
	return n
}

// A server runs a request that is not idempotent, and the answer is lost (fault
// answer_lost). The request must not be sent again, and its outcome must be unknown.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		for dataCentre := range testDataCentres {
			sim.setBehaviour(behaviour{breaksConnection: true}, serverID(0, dataCentre))
		}
		a := e.Run(t.Context(), newTestRequest(forwardRoute(false, 2)))
		if sim.forwardRuns() != 1 || a.Fault == nil || a.Fault.Outcome() != fault.Unknown {
			t.Fatalf("%d runs, fault %v; want 1 run and an unknown outcome", sim.forwardRuns(), a.Fault)
		}
	})
}

func TestIdempotentRequestIsSentAgain(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		sim.setBehaviour(behaviour{breaksConnection: true}, serverID(0, 0))
		if a := e.Run(t.Context(), newTestRequest(forwardRoute(true, 2))); a.Reply == nil || a.Reply.Status != 200 {
			t.Fatalf("fault %v, want a reply with status 200", a.Fault)
		}
	})
}

// The route has a max_attempts of 1. A request must be sent only once, even if the server
// refuses it.
func TestMaxAttemptsBoundsSends(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		for dataCentre := range testDataCentres {
			sim.setBehaviour(behaviour{refusesAll: true}, serverID(0, dataCentre))
		}
		a := e.Run(t.Context(), newTestRequest(forwardRoute(true, 1)))
		if sim.countsOf(sim.arrivals)[serviceName(0)] != 1 || a.Fault == nil || a.Fault.Outcome() != fault.NotRun || a.RetryAfter == 0 {
			t.Fatalf("%d sends, fault %v, retry after %s; want 1 send, not run, with a retry time", sim.countsOf(sim.arrivals)[serviceName(0)], a.Fault, a.RetryAfter)
		}
	})
}

// Servers refuse requests, are slow and break connections. A request that is refused with
// the outcome "not run" must not have run on any server and must not run later.
func TestNotRunRequestNeverRuns(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		for dataCentre := range testDataCentres {
			sim.setBehaviour(behaviour{shedShare: 0.7, slowdown: 4, breaksConnection: dataCentre == 1}, serverID(0, dataCentre))
		}
		refused := 0
		for range 300 {
			before := sim.forwardRuns()
			a := e.Run(t.Context(), newTestRequest(forwardRoute(false, 2)))
			time.Sleep(testTimeout)
			if a.Fault == nil || a.Fault.Outcome() != fault.NotRun {
				continue
			}
			refused++
			if sim.forwardRuns() != before {
				t.Fatalf("a request ran although its outcome is not run: %v", a.Fault)
			}
		}
		if refused == 0 {
			t.Fatal("no request was refused")
		}
	})
}

// A client disconnects while all servers are busy with its request. They must stop work
// on the request within half a second.
func TestServersStopAfterClientDisconnects(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(sim.fleet, sim)
		for shard := range testShards {
			for dataCentre := range testDataCentres {
				sim.setBehaviour(behaviour{slowdown: 50}, serverID(shard, dataCentre))
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		e.Run(ctx, newTestRequest(shardedRoute(1)))
		time.Sleep(400 * time.Millisecond)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if sim.busy != 0 {
			t.Fatalf("%d servers are still busy 0.4 s after the client disconnected", sim.busy)
		}
	})
}

func TestRequestWithoutServersIsRefusedAtOnce(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		sim := newSimulation()
		e := New(fleet.New(fleet.Locality{}), sim)
		start := time.Now()
		a := e.Run(t.Context(), newTestRequest(shardedRoute(1)))
		if a.Fault == nil || a.Fault.Outcome() != fault.NotRun || a.RetryAfter == 0 || time.Since(start) > 0 {
			t.Fatalf("fault %v, retry after %s, took %s; want not run with a retry time, at once", a.Fault, a.RetryAfter, time.Since(start))
		}
	})
}
