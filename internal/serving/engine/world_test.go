package engine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/catalog"
	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/internal/routing/membership"
	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	testShards  = 10
	testZones   = 3
	testSlots   = 3
	testWork    = 15 * time.Millisecond
	farWay      = 40 * time.Millisecond
	testSeed    = 20261204
	objective   = 190 * time.Millisecond
	testTimeout = 1200 * time.Millisecond
)

// play runs a test on the paused clock and lets the requests end that nobody
// waits for any more.
func play(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(2 * testTimeout)
		f(t)
	})
}

// behaviour is what a test makes of one server; the zero value is well.
type behaviour struct {
	dark    bool
	shed    float64
	breaks  bool
	slow    float64
	paused  func(now time.Time) time.Duration
	refuses bool
}

// world is a Sender over servers with slots, played on the paused clock.
type world struct {
	mu       sync.Mutex
	rng      *rand.Rand
	servers  map[string]*behaviour
	slots    map[string]chan struct{}
	arrivals map[string]int
	runs     map[string]int
	working  int
	fleet    *fleet.Fleet
}

func newWorld() *world {
	w := &world{
		rng: rand.New(rand.NewPCG(testSeed, 1)), servers: map[string]*behaviour{}, slots: map[string]chan struct{}{},
		arrivals: map[string]int{}, runs: map[string]int{}, fleet: fleet.New(fleet.Locality{DataCentre: "z0", Region: "r0"}),
	}
	var entries []membership.Entry
	for shard := range testShards {
		for zone := range testZones {
			id := serverID(shard, zone)
			entries = append(entries, membership.Entry{
				ID: id, Service: service(shard), Address: id, DataCentre: fmt.Sprint("z", zone),
				Region: fmt.Sprint("r", zone), Capacity: testSlots,
			})
			w.servers[id] = &behaviour{}
			w.slots[id] = make(chan struct{}, testSlots)
		}
	}
	w.fleet.Update(entries)
	return w
}

func service(shard int) string { return fmt.Sprint("shard", shard) }

func serverID(shard, zone int) string { return fmt.Sprintf("s%d-%d", shard, zone) }

func (w *world) set(b behaviour, ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		*w.servers[id] = b
	}
}

var errLost = errors.New("the connection broke")

// Send implements Sender.
func (w *world) Send(ctx context.Context, s *fleet.Server, req *Request) *Reply {
	w.mu.Lock()
	w.arrivals[s.Service()]++
	b := *w.servers[s.ID()]
	isShed := b.refuses || w.rng.Float64() < b.shed
	work := time.Duration(float64(testWork) * (0.6 + 0.8*w.rng.Float64()) * max(b.slow, 1))
	w.mu.Unlock()
	if s.Distance() != fleet.SameDataCentre && !pause.For(ctx, farWay) {
		return silent(ctx)
	}
	switch {
	case b.dark:
		<-ctx.Done()
		return silent(ctx)
	case isShed:
		return &Reply{Outcome: fleet.Refused, Err: errLost}
	}
	return w.serve(ctx, s, b, work)
}

func (w *world) serve(ctx context.Context, s *fleet.Server, b behaviour, work time.Duration) *Reply {
	select {
	case w.slots[s.ID()] <- struct{}{}:
	case <-ctx.Done():
		return silent(ctx)
	}
	defer func() { <-w.slots[s.ID()] }()
	w.mu.Lock()
	w.runs[s.ID()]++
	w.working++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.working--
	}()
	if b.paused != nil {
		work += b.paused(time.Now())
	}
	if !pause.For(ctx, work) {
		return silent(ctx)
	}
	if b.breaks {
		return &Reply{Outcome: fleet.Broken, Err: errLost}
	}
	return &Reply{Outcome: fleet.Answered, Status: 200, Signature: s.ID(), Body: []byte("0123456789abcdef")}
}

func silent(ctx context.Context) *Reply {
	return &Reply{Outcome: fleet.TimedOut, Err: context.Cause(ctx)}
}

// shardedRoute returns a route over all shards that may miss one.
func shardedRoute(priority int) *catalog.Route {
	r := &catalog.Route{
		Name: fmt.Sprint("sweep", priority), Idempotent: true, Timeout: testTimeout, Objective: objective, Priority: priority,
		MaxAttempts: 2, TopRecords: 5, MinShardShare: 0.89,
	}
	for shard := range testShards {
		r.Shards = append(r.Shards, service(shard))
	}
	return r
}

func request(r *catalog.Route) *Request {
	now := time.Now()
	return &Request{ID: "a", Route: r, Arrived: now, Deadline: now.Add(testTimeout), Objective: now.Add(objective)}
}

// tallyOf are the ends of the requests of one load.
type tallyOf struct {
	mu                         sync.Mutex
	whole, partial, late, lost int
	slowest                    time.Duration
}

func (l *tallyOf) add(a *Answer, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowest = max(l.slowest, took)
	switch {
	case a.Fault != nil:
		l.lost++
	case took > objective+time.Millisecond:
		l.late++
	case a.Missing > 0:
		l.partial++
	default:
		l.whole++
	}
}

// load sends requests at a rate for a time and waits for their ends.
func (w *world) load(t *testing.T, e *Engine, perSecond int, d time.Duration, routes ...*catalog.Route) map[string]*tallyOf {
	ends := map[string]*tallyOf{}
	for _, r := range routes {
		ends[r.Name] = &tallyOf{}
	}
	var running sync.WaitGroup
	for i := range int(d.Seconds() * float64(perSecond)) {
		r := routes[i%len(routes)]
		running.Go(func() {
			start := time.Now()
			ends[r.Name].add(e.Run(t.Context(), request(r)), time.Since(start))
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	running.Wait()
	return ends
}
