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
	// until is the time by which the request must get a server to be answered in time.
	until  time.Time
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
	w := &waiter{rank: rank, filter: filter, until: now.Add(maxWait), server: make(chan *Server, 1)}
	g.waiters = append(g.waiters, w)
	g.scheduleWake(now)
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

// capacity is the rate at which some servers together answer requests, with the shortest
// latency of one of them.
type capacity struct {
	perSecond  float64
	minLatency time.Duration
}

// add adds a server that answers requests at a rate, each after latency.
func (c *capacity) add(perSecond float64, latency time.Duration) {
	if c.perSecond == 0 || latency < c.minLatency {
		c.minLatency = latency
	}
	c.perSecond += perSecond
}

// expectedLatency returns the time after which a request of the given rank can expect
// its answer if it starts to wait for a server now. This is the time in which all
// servers together answer the waiting requests ahead of it and the request itself, plus
// the shortest round trip and service time of a server. Servers that are resting count
// only if all of them are, with the rest as part of their latency. The caller holds mu.
func (g *Group) expectedLatency(rank Rank, now time.Time) time.Duration {
	var active, resting capacity
	for _, s := range g.servers {
		if !s.isInRotation() || s.isDown(now, g.typicalServiceTime) {
			continue
		}
		latency := s.roundTrip + s.serviceTime(now, g.typicalServiceTime)
		rate := min(s.concurrencyLimit, float64(s.maxInFlight())) / latency.Seconds()
		if s.isCold(now) {
			rate = min(rate, float64(s.coldShare())/coldWindow.Seconds())
		}
		if s.isResting(now) {
			resting.add(rate, s.restUntil.Sub(now)+latency)
		} else {
			active.add(rate, latency)
		}
	}
	if active.perSecond == 0 {
		active = resting
	}
	if active.perSecond == 0 {
		return math.MaxInt64
	}
	ahead := 1
	for _, w := range g.waiters {
		if w.rank.compare(rank, now) <= 0 {
			ahead++
		}
	}
	return active.minLatency + time.Duration(float64(ahead)/active.perSecond*float64(time.Second))
}

// serveWaiters assigns servers with free capacity to the waiters in the order of their
// ranks. A waiter gets nil if its filter matches no usable server, or only servers that
// accept requests too late for it. The caller holds mu.
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
		if !g.hasServer(w.filter, now, w.until) {
			w.server <- nil
			continue
		}
		remaining = append(remaining, w)
	}
	clear(g.waiters[len(remaining):])
	g.waiters = remaining
	g.scheduleWake(now)
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
// capacity. If all servers want no requests for a time, this is the end of that time,
// provided that it is before the request's deadline, which is left from now.
func (g *Group) RetryAfter(now time.Time, filter Filter, left time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	rest, found := g.shortestRest(filter, now)
	switch {
	case found && rest > 0 && rest < left:
		return rest
	case !found || rest > 0:
		return maxRetryAfter
	}
	return min(g.expectedLatency(Rank{Priority: math.MaxInt}, now), maxRetryAfter)
}
