package fleet

import (
	"slices"
	"time"
)

// maxNotices is the maximum number of servers of one service whose notices are kept.
const maxNotices = 1024

// Notice is what a server states in an answer about the requests that it wants. The zero
// value states nothing.
//
// Notices handle two load patterns:
//   - A server leaves although its entry does not say so, or this host has not read the
//     newer entry, or reads an older one again. The server's answers are then the only
//     sign.
//   - A server is overloaded and refuses requests. Each further refusal costs the server
//     time that it needs to recover, and the caller an extra send.
type Notice struct {
	// IsLeaving means that the server will stop. This host sends it no further requests
	// until it starts again.
	IsLeaving bool
	// RestTime is the time for which the server wants no further requests of this host;
	// 0 if it did not state one.
	RestTime time.Duration
}

// standingNotice is a notice of one incarnation of a server.
type standingNotice struct {
	startUnixMs int64
	isLeaving   bool
	restUntil   time.Time
}

// notices keeps the notices of the servers of one service, also of servers whose entries
// are missing at the moment: an entry may expire and reappear, or arrive out of order,
// while the server runs on. The zero value is empty.
type notices struct {
	byID map[string]standingNotice
	// order holds the IDs from the oldest notice to the newest.
	order []string
}

// record adds a notice of a server and drops the oldest notice if there are more than
// maxNotices. A notice of an earlier incarnation than the one known is ignored: it comes
// from an answer that was under way when the server started again.
func (n *notices) record(s *Server) {
	if n.byID == nil {
		n.byID = map[string]standingNotice{}
	}
	id := s.ID()
	start := s.entry().StartUnixMs
	switch old, known := n.byID[id]; {
	case !known:
		n.order = append(n.order, id)
	case old.startUnixMs > start:
		return
	}
	n.byID[id] = standingNotice{startUnixMs: start, isLeaving: s.isLeaving, restUntil: s.restUntil}
	if len(n.order) > maxNotices {
		delete(n.byID, n.order[0])
		n.order = n.order[1:]
	}
}

// apply passes the notice of a server on to s, its new representation, unless s has
// started since that notice.
func (n *notices) apply(s *Server) {
	if old, known := n.byID[s.ID()]; known && s.entry().StartUnixMs <= old.startUnixMs {
		s.isLeaving, s.restUntil = old.isLeaving, old.restUntil
	}
}

// ObserveNotice records what a server stated about itself in an answer to this host. The
// notice holds for requests that already wait for a server, and until the server starts
// again: neither time nor an older entry revokes it, except that RestTime ends.
func (g *Group) ObserveNotice(s *Server, notice Notice, now time.Time) {
	if notice == (Notice{}) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.isLeaving = s.isLeaving || notice.IsLeaving
	if until := now.Add(notice.RestTime); until.After(s.restUntil) {
		s.restUntil = until
	}
	g.notices.record(s)
	g.serveWaiters(now)
}

// isResting reports whether the server wants no requests of this host at the moment.
func (s *Server) isResting(now time.Time) bool { return now.Before(s.restUntil) }

// shortestRest returns the time until the first of the servers that match filter accepts
// requests of this host, or 0 if one of them accepts requests now. The second result is
// false if no usable server matches. The caller holds mu.
func (g *Group) shortestRest(filter Filter, now time.Time) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, s := range g.servers {
		if !g.matches(s, filter) || !s.isUsable(now, g.typicalServiceTime) {
			continue
		}
		if rest := max(s.restUntil.Sub(now), 0); !found || rest < shortest {
			shortest, found = rest, true
		}
	}
	return shortest, found
}

// CanServeBy reports whether any server that matches filter accepts requests of this host
// at a time before until, disregarding whether it has free capacity or is down.
func (g *Group) CanServeBy(filter Filter, until time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.servers, func(s *Server) bool { return g.matches(s, filter) && s.restUntil.Before(until) })
}
