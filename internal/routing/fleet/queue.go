package fleet

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"
)

// Rank orders the requests that wait for a server: the more urgent priority
// first, then those that were turned away before, then the one that is due
// first. Requests that can no longer be served inside their objective go last.
type Rank struct {
	Priority   int
	IsReturned bool
	// Objective is when the answer loses its full value.
	Objective time.Time
}

func (r Rank) compare(o Rank, now time.Time) int {
	return cmp.Or(
		cmp.Compare(r.Priority, o.Priority),
		compareBool(now.After(r.Objective), now.After(o.Objective)),
		compareBool(o.IsReturned, r.IsReturned),
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
	ask    Ask
	server chan *Server
}

// Acquire returns a server as Pick does, and waits for room if there is none
// until ctx ends. It returns nil if no server fits, if the wait would be longer
// than patience, or if ctx ended.
//
// Waiting here beats waiting in a server's queue: the request can still be
// overtaken by a more urgent one, sent elsewhere, or refused as not run.
func (g *Group) Acquire(ctx context.Context, ask Ask, rank Rank, patience time.Duration) *Server {
	now := time.Now()
	g.mu.Lock()
	s, mayWait := g.take(now, ask, rank, patience)
	if !mayWait {
		g.mu.Unlock()
		return s
	}
	w := &waiter{rank: rank, ask: ask, server: make(chan *Server, 1)}
	g.waiters = append(g.waiters, w)
	g.wakeForCold(now)
	g.mu.Unlock()
	select {
	case s := <-w.server:
		return s
	case <-ctx.Done():
		return g.leave(w)
	}
}

// leave takes a request out of the queue. A server that was handed over at the
// same moment goes to the next one.
func (g *Group) leave(w *waiter) *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiters, w); i >= 0 {
		g.waiters = slices.Delete(g.waiters, i, i+1)
		return nil
	}
	if s := <-w.server; s != nil {
		s.inFlight--
		s.cold.uncount()
		g.serveWaiters(time.Now())
	}
	return nil
}

// expectedWait returns how long the answer to a request of a rank would take: the
// requests that it lets go first, at the rate at which the servers answer, and its
// own service. The caller holds mu.
func (g *Group) expectedWait(rank Rank, now time.Time) time.Duration {
	perSecond, service := 0.0, time.Duration(math.MaxInt64)
	for _, s := range g.servers {
		if s.isOpen() && !s.isDark(now, g.typical) {
			own := s.roundTrip + s.serviceTime(now, g.typical)
			rate := min(s.limit, float64(s.mostRoom())) / own.Seconds()
			if s.isCold(now) {
				rate = min(rate, float64(s.coldShare())/coldWindow.Seconds())
			}
			perSecond += rate
			service = min(service, own)
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
	return service + time.Duration(float64(ahead)/perSecond*float64(time.Second))
}

// serveWaiters hands free servers to the requests that wait, the first in rank
// first. The caller holds mu.
func (g *Group) serveWaiters(now time.Time) {
	if len(g.waiters) == 0 {
		return
	}
	slices.SortStableFunc(g.waiters, func(a, b *waiter) int { return a.rank.compare(b.rank, now) })
	kept := g.waiters[:0]
	for _, w := range g.waiters {
		if s := g.pick(now, w.ask); s != nil {
			w.server <- s
			continue
		}
		if !g.hasServer(w.ask, now) {
			w.server <- nil
			continue
		}
		kept = append(kept, w)
	}
	clear(g.waiters[len(kept):])
	g.waiters = kept
	g.wakeForCold(now)
}

// Waiting returns how many requests wait.
func (g *Group) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters)
}

// downTime is when a request for a service without a server that is up should come
// back: servers that are down are tried again after that time at the least.
const downTime = 300 * time.Millisecond

// RoomIn returns when a request that is turned away now should find room.
func (g *Group) RoomIn(now time.Time, ask Ask) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasServer(ask, now) {
		return downTime
	}
	return min(g.expectedWait(Rank{Priority: math.MaxInt}, now), downTime)
}
