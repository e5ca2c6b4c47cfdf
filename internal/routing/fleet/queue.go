package fleet

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"
)

// Rank orders the requests that wait for a server: by priority, the most urgent first;
// then those that can still meet their objective; then those that were refused before;
// then by objective, the earliest first.
type Rank struct {
	Priority int
	IsRetry  bool
	// Objective is the time until which the answer has its full value.
	Objective time.Time
}

func (r Rank) compare(o Rank, now time.Time) int {
	return cmp.Or(
		cmp.Compare(r.Priority, o.Priority),
		compareBool(now.After(r.Objective), now.After(o.Objective)),
		compareBool(o.IsRetry, r.IsRetry),
		r.Objective.Compare(o.Objective),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// waiter is a request that waits for a server of a group.
type waiter struct {
	rank   Rank
	filter Filter
	server chan *Server
}

// Acquire returns a server as Pick does and, if none has free capacity, waits for one
// until ctx ends. It returns nil if no server matches filter, if the answer is not
// expected within maxWait, or if ctx ended.
//
// Waiting here is better than waiting in a server's queue: the request can still be
// overtaken by a more urgent one, sent to another server, or refused as not run.
func (g *Group) Acquire(ctx context.Context, filter Filter, rank Rank, maxWait time.Duration) *Server {
	now := time.Now()
	g.mu.Lock()
	s, mayWait := g.tryAcquire(now, filter, rank, maxWait)
	if !mayWait {
		g.mu.Unlock()
		return s
	}
	w := &waiter{rank: rank, filter: filter, server: make(chan *Server, 1)}
	g.waiters = append(g.waiters, w)
	g.scheduleColdWake(now)
	g.mu.Unlock()
	select {
	case s := <-w.server:
		return s
	case <-ctx.Done():
		return g.cancelWait(w)
	}
}

// cancelWait removes a request from the queue. A server that was assigned to it at the
// same moment is released for the next one. The result is always nil.
func (g *Group) cancelWait(w *waiter) *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiters, w); i >= 0 {
		g.waiters = slices.Delete(g.waiters, i, i+1)
		return nil
	}
	if s := <-w.server; s != nil {
		s.inFlight--
		s.cold.undoSend()
		g.serveWaiters(time.Now())
	}
	return nil
}

// expectedLatency returns how long the answer to a request of a rank would take: the
// time in which the servers answer it and the requests that precede it, plus its own
// round trip and service time. The caller holds mu.
func (g *Group) expectedLatency(rank Rank, now time.Time) time.Duration {
	perSecond, minLatency := 0.0, time.Duration(math.MaxInt64)
	for _, s := range g.servers {
		if s.isInRotation() && !s.isDown(now, g.typicalService) {
			latency := s.roundTrip + s.serviceTime(now, g.typicalService)
			rate := min(s.concurrencyLimit, float64(s.maxInFlight())) / latency.Seconds()
			if s.isCold(now) {
				rate = min(rate, float64(s.coldShare())/coldWindow.Seconds())
			}
			perSecond += rate
			minLatency = min(minLatency, latency)
		}
	}
	if perSecond == 0 {
		return math.MaxInt64
	}
	ahead := 1
	for _, w := range g.waiters {
		if w.rank.compare(rank, now) <= 0 {
			ahead++
		}
	}
	return minLatency + time.Duration(float64(ahead)/perSecond*float64(time.Second))
}

// serveWaiters assigns servers with free capacity to the waiters in the order of their
// ranks, and nil to those that no usable server matches. The caller holds mu.
func (g *Group) serveWaiters(now time.Time) {
	if len(g.waiters) == 0 {
		return
	}
	slices.SortStableFunc(g.waiters, func(a, b *waiter) int { return a.rank.compare(b.rank, now) })
	remaining := g.waiters[:0]
	for _, w := range g.waiters {
		if s := g.pick(now, w.filter); s != nil {
			w.server <- s
			continue
		}
		if !g.hasServer(w.filter, now) {
			w.server <- nil
			continue
		}
		remaining = append(remaining, w)
	}
	clear(g.waiters[len(remaining):])
	g.waiters = remaining
	g.scheduleColdWake(now)
}

// Waiting returns how many requests wait for a server of the group.
func (g *Group) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters)
}

// maxRetryAfter is the longest time after which a refused request should be retried,
// and the time for a service without a server that is up: servers that are down are
// tried again after that time at the least.
const maxRetryAfter = 300 * time.Millisecond

// RetryAfter returns after what time a request that is refused now should find free
// capacity.
func (g *Group) RetryAfter(now time.Time, filter Filter) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasServer(filter, now) {
		return maxRetryAfter
	}
	return min(g.expectedLatency(Rank{Priority: math.MaxInt}, now), maxRetryAfter)
}
