package engine

import (
	"context"
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/catalog"
	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// Each server pauses for 250 ms each 6 s, at its own time; over ten shards that
// meets a third of all sharded requests (all days of the escape rooms).
func TestPausesCostFewAnswers(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		start := time.Now()
		for shard := range testShards {
			for zone := range testZones {
				phase := time.Duration(shard*testZones+zone) * 200 * time.Millisecond
				w.set(behaviour{paused: func(now time.Time) time.Duration {
					at := (now.Sub(start) + phase) % (6 * time.Second)
					return max(250*time.Millisecond-at, 0)
				}}, serverID(shard, zone))
			}
		}
		ends := w.load(t, e, 40, 20*time.Second, shardedRoute(1))["sweep1"]
		if ends.whole < 784 || ends.lost > 0 {
			t.Fatalf("%d whole, %d partial, %d late, %d lost of 800; want 98 %% whole", ends.whole, ends.partial, ends.late, ends.lost)
		}
		for service, n := range w.arrivals {
			if n > 800+800*15/100+3 {
				t.Fatalf("%s got %d sends for 800 requests", service, n)
			}
		}
	})
}

// All servers of a shard fall silent at once (srv_crash, dark all).
func TestShardThatIsDownIsNotWaitedFor(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		w.load(t, e, 40, time.Second, shardedRoute(1))
		w.set(behaviour{dark: true}, serverID(4, 0), serverID(4, 1), serverID(4, 2))
		w.load(t, e, 40, 2*time.Second, shardedRoute(1))
		ends := w.load(t, e, 40, 2*time.Second, shardedRoute(1))["sweep1"]
		// A request now and then looks whether a server is back, and waits for it
		// until the objective.
		if ends.partial < 80 || ends.lost > 0 {
			t.Fatalf("%d whole, %d partial, %d late, %d lost of 80", ends.whole, ends.partial, ends.late, ends.lost)
		}
		start := time.Now()
		e.Run(t.Context(), request(shardedRoute(1)))
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Fatalf("an answer took %s with a shard that is down", took)
		}
	})
}

// Half of the servers refuse six in ten requests (srv_grey, shed across): the
// retries must fit the budget, so the first send must avoid them.
func TestSheddingServersAreAvoided(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		for shard := range testShards {
			w.set(behaviour{shed: 0.6}, serverID(shard, shard%2))
		}
		w.load(t, e, 40, 2*time.Second, shardedRoute(1))
		clear(w.arrivals)
		ends := w.load(t, e, 40, 10*time.Second, shardedRoute(1))["sweep1"]
		if ends.whole+ends.partial < 396 {
			t.Fatalf("%d whole, %d partial, %d late, %d lost of 400; want 99 %% in time", ends.whole, ends.partial, ends.late, ends.lost)
		}
		for service, n := range w.arrivals {
			if n > 400+400*16/100 {
				t.Fatalf("%s got %d sends for 400 requests, more than 0.8 of the budget", service, n)
			}
		}
	})
}

// Every server refuses everything for a while: further sends stay in the budget.
func TestExtraSendsStayInTheBudget(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		for shard := range testShards {
			for zone := range testZones {
				w.set(behaviour{refuses: true}, serverID(shard, zone))
			}
		}
		w.load(t, e, 40, 10*time.Second, shardedRoute(1))
		for service, n := range w.arrivals {
			if n > 400+400*16/100+extraBurstOfTest {
				t.Fatalf("%s got %d sends for 400 requests", service, n)
			}
		}
	})
}

// extraBurstOfTest is a host's part of the slack of the deployments: 52 over 16
// hosts.
const extraBurstOfTest = 3

// One shard is down and one has a single server left, six times as slow: only a
// part of the requests can be answered in time. The others are turned away before
// anything is sent, so that those are (jeroa-find, scale-1, seconds 6 to 11).
func TestScarceShardServesWhatItCan(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		w.load(t, e, 40, time.Second, shardedRoute(1))
		w.set(behaviour{dark: true}, serverID(4, 0), serverID(4, 1), serverID(4, 2), serverID(5, 1), serverID(5, 2))
		w.set(behaviour{slow: 6}, serverID(5, 0))
		w.load(t, e, 100, 3*time.Second, shardedRoute(1))
		clear(w.arrivals)
		ends := w.load(t, e, 100, 5*time.Second, shardedRoute(1))["sweep1"]
		// Three slots and 90 ms leave 33 requests a second.
		if good := ends.whole + ends.partial; good < 100 {
			t.Fatalf("%d answered in time, %d late, %d refused or lost of 500; want 60 %% of what the slow server bears", good, ends.late, ends.lost)
		}
		if n := w.arrivals[service(0)]; n > 250 {
			t.Fatalf("a shard that is well got %d of 500 requests, although most could not be answered", n)
		}
	})
}

func TestAnswerWithoutOnePartAtTheObjective(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		for zone := range testZones {
			w.set(behaviour{slow: 60}, serverID(3, zone))
		}
		start := time.Now()
		a := e.Run(t.Context(), request(shardedRoute(1)))
		if a.Fault != nil || a.Missing != 1 || time.Since(start) != objective {
			t.Fatalf("%v, %d missing after %s", a.Fault, a.Missing, time.Since(start))
		}
	})
}

// With two slow shards of ten a success needs one of them: the answer is late but
// it is given.
func TestLateAnswersAreDelivered(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		for zone := range testZones {
			w.set(behaviour{slow: 20}, serverID(3, zone), serverID(5, zone))
		}
		start := time.Now()
		a := e.Run(t.Context(), request(shardedRoute(1)))
		took := time.Since(start)
		if a.Fault != nil || a.Missing != 1 || took <= objective || took > 500*time.Millisecond {
			t.Fatalf("%v, %d missing after %s", a.Fault, a.Missing, took)
		}
	})
}

// Under twice the load that the servers bear, the more urgent route is served
// first, and what can't be served is told at once.
func TestUrgentRouteGoesFirst(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		for shard := range testShards {
			for zone := range testZones {
				w.set(behaviour{slow: 6}, serverID(shard, zone))
			}
		}
		ends := w.load(t, e, 200, 4*time.Second, shardedRoute(0), shardedRoute(2))
		urgent, other := ends["sweep0"], ends["sweep2"]
		if good, less := urgent.whole+urgent.partial, other.whole+other.partial; good < less {
			t.Fatalf("%d of the urgent route in time, %d of the other", good, less)
		}
		if urgent.lost > other.lost {
			t.Fatalf("%d of the urgent route lost, %d of the other", urgent.lost, other.lost)
		}
	})
}

func forwardRoute(idempotent bool, attempts int) *catalog.Route {
	return &catalog.Route{
		Name: "desk", Idempotent: idempotent, Timeout: testTimeout, Objective: objective, MaxAttempts: attempts,
		WeightedServices: []catalog.WeightedService{{Service: service(0), Weight: 1}},
	}
}

// deskRuns returns how often servers of the forwarded route ran a request.
func (w *world) deskRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for zone := range testZones {
		n += w.runs[serverID(0, zone)]
	}
	return n
}

// A server runs a request and its answer is lost (answer_lost): one that is not
// idempotent is not sent again, and its outcome is unknown.
func TestNonIdempotentRunsOnce(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		for zone := range testZones {
			w.set(behaviour{breaks: true}, serverID(0, zone))
		}
		a := e.Run(t.Context(), request(forwardRoute(false, 2)))
		if w.deskRuns() != 1 || a.Fault == nil || a.Fault.Outcome() != fault.Unknown {
			t.Fatalf("%d runs, %v", w.deskRuns(), a.Fault)
		}
	})
}

func TestIdempotentIsSentAgain(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		w.set(behaviour{breaks: true}, serverID(0, 0))
		if a := e.Run(t.Context(), request(forwardRoute(true, 2))); a.Reply == nil || a.Reply.Status != 200 {
			t.Fatalf("%v", a.Fault)
		}
	})
}

// max_attempts of 1 leaves one send, also when the server refuses it.
func TestAttemptsBoundTheSends(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		for zone := range testZones {
			w.set(behaviour{refuses: true}, serverID(0, zone))
		}
		a := e.Run(t.Context(), request(forwardRoute(true, 1)))
		if w.arrivals[service(0)] != 1 || a.Fault == nil || a.Fault.Outcome() != fault.NotRun || a.RetryAfter == 0 {
			t.Fatalf("%d sends, %v, retry after %s", w.arrivals[service(0)], a.Fault, a.RetryAfter)
		}
	})
}

// A refusal that says "not run" must be true: no later run may follow it.
func TestNotRunIsTrue(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		for zone := range testZones {
			w.set(behaviour{shed: 0.7, slow: 4, breaks: zone == 1}, serverID(0, zone))
		}
		refused := 0
		for range 300 {
			before := w.deskRuns()
			a := e.Run(t.Context(), request(forwardRoute(false, 2)))
			time.Sleep(testTimeout)
			if a.Fault == nil || a.Fault.Outcome() != fault.NotRun {
				continue
			}
			refused++
			if w.deskRuns() != before {
				t.Fatalf("said not run, but it ran: %v", a.Fault)
			}
		}
		if refused == 0 {
			t.Fatal("nothing was refused")
		}
	})
}

// A client leaves: its servers stop within half a second.
func TestServersStopWhenTheClientLeaves(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(w.fleet, w)
		for shard := range testShards {
			for zone := range testZones {
				w.set(behaviour{slow: 50}, serverID(shard, zone))
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		e.Run(ctx, request(shardedRoute(1)))
		time.Sleep(400 * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.working != 0 {
			t.Fatalf("%d servers still work 0.4 s after the client left", w.working)
		}
	})
}

func TestNoServerIsToldAtOnce(t *testing.T) {
	play(t, func(t *testing.T) {
		w := newWorld()
		e := New(fleet.New(fleet.Locality{}), w)
		start := time.Now()
		a := e.Run(t.Context(), request(shardedRoute(1)))
		if a.Fault == nil || a.Fault.Outcome() != fault.NotRun || a.RetryAfter == 0 || time.Since(start) > 0 {
			t.Fatalf("%v, retry after %s, took %s", a.Fault, a.RetryAfter, time.Since(start))
		}
	})
}
