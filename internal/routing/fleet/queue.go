package fleet

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"
)

// Rank determines the order of the requests that wait for a server. Requests of a more
// urgent priority come first. Within a priority, requests whose latency objective has not
// yet passed come before the others, then retries before first attempts, then earlier
// objectives before later ones.
type Rank struct {
	Priority int
	IsRetry  bool
	// Objective is the time at which the latency objective of the request ends. A later
	// answer is worth less to the caller.
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

// Acquire returns a server as Pick does. If no server has free capacity, it waits for one
// until ctx ends. It returns nil if no server matches filter, if the answer is not
// expected within maxWait, or if ctx ended.
//
// Waiting on this host is better than waiting in a server's queue. A request that waits
// on this host can still be overtaken by a more urgent one, be sent to another server, or
// be refused with the assurance that it has not run.
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
	g.scheduleWakeForColdServer(now)
	g.mu.Unlock()
	select {
	case s := <-w.server:
		return s
	case <-ctx.Done():
		return g.cancelWait(w)
	}
}

// cancelWait removes a request whose context has ended from the waiters. If a server
// has already been assigned to the request, cancelWait releases the server for the next
// waiter. It always returns nil, because Acquire returns no server once the context has
// ended.
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

// expectedLatency returns the time after which a request of the given rank can expect
// its answer if it starts to wait for a server now. This is the time in which all
// servers together answer the waiting requests ahead of it and the request itself, plus
// the shortest round trip and service time of a server. The caller holds mu.
func (g *Group) expectedLatency(rank Rank, now time.Time) time.Duration {
	perSecond, minLatency := 0.0, time.Duration(math.MaxInt64)
	for _, s := range g.servers {
		if s.isInRotation() && !s.isDown(now, g.typicalServiceTime) {
			latency := s.roundTrip + s.serviceTime(now, g.typicalServiceTime)
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
// ranks. A waiter gets nil if its filter matches no usable server. The caller holds mu.
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
	g.scheduleWakeForColdServer(now)
}

// Waiting returns the number of requests that wait for a server of the group.
func (g *Group) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters)
}

// maxRetryAfter is the longest time after which the client of a refused request is
// advised to retry. It is also the advice when every server of the service is down: such
// servers are tried again after that time at the least.
const maxRetryAfter = 300 * time.Millisecond

// RetryAfter returns the time after which a request that is refused now can expect free
// capacity.
func (g *Group) RetryAfter(now time.Time, filter Filter) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasServer(filter, now) {
		return maxRetryAfter
	}
	return min(g.expectedLatency(Rank{Priority: math.MaxInt}, now), maxRetryAfter)
}
