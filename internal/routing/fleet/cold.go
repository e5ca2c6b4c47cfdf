package fleet

import (
	"time"

	"github.com/godwithatch/godwithatch/modules/rendezvous"
)

const (
	// coldWindow is the span in which the requests at a cold server are counted. The
	// deployments state the limit for any second.
	coldWindow = time.Second
	// coldFarShare is the part of a cold server's limit that hosts of other regions
	// get. They need it only when their own servers are gone, and without it they
	// would have none then.
	coldFarShare = 0.25
)

// ColdLimit is what the cold servers of one service bear. The zero value is no limit.
type ColdLimit struct {
	// PerSecond is how many requests all hosts together may send in any second; 0 means
	// any number.
	PerSecond int
	// Time is how long a server is taken to be cold that was away without an entry
	// that tells.
	Time time.Duration
}

// Peer is one of the hosts that share cold servers, this one among them.
type Peer struct {
	Name   string
	Region string
}

// coldShare returns how many requests a second the host self may send to a cold
// server. Every host that knows the same peers computes shares that add up to the
// limit, so that none has to ask another: hosts that are cut off, or gone, leave their
// share unused. Hosts of the server's region get most of it. A host that is not among
// the peers gets nothing.
//
// It answers this load: all servers of a data centre come back at once, cold, and
// every host moves back to its near servers in the same moment.
func coldShare(server, region, self string, peers []Peer, perSecond int) int {
	own := rendezvous.Weight(server, self)
	isKnown, isNear := false, false
	for _, p := range peers {
		if p.Name == self {
			isKnown, isNear = true, p.Region == region
		}
	}
	if !isKnown {
		return 0
	}
	// ahead are the peers on the same side, near or far, that come first in the order
	// of this server.
	same, ahead := 0, 0
	for _, p := range peers {
		if (p.Region == region) != isNear {
			continue
		}
		same++
		if p.Name != self && rendezvous.Weight(server, p.Name) > own {
			ahead++
		}
	}
	part := perSecond
	if same < len(peers) {
		part = int(coldFarShare * float64(perSecond))
		if isNear {
			part = perSecond - part
		}
	}
	share := part / same
	if ahead < part%same {
		share++
	}
	return share
}

// coldTerms are what hosts agree on for the cold servers of one service.
type coldTerms struct {
	limit ColdLimit
	self  string
	peers []Peer
}

// coldness is what bounds the requests of this host at a server while it is cold. The
// zero value bounds nothing.
type coldness struct {
	// terms is nil without a limit.
	terms *coldTerms
	// share is how many requests this host may send in a second by the terms sharedBy.
	share    int
	sharedBy *coldTerms
	// isAway is that no connection could be opened since the last answer.
	isAway bool
	// awayUntil is until when the server is taken to be cold because it was away.
	awayUntil time.Time
	// sent are the times of the last requests, share of them at most.
	sent []time.Time
}

// cameBack records that a server is back that may have started again or cooled down
// unseen: its entry may tell only later.
func (c *coldness) cameBack(now time.Time) {
	c.isAway = false
	if c.terms != nil {
		c.awayUntil = now.Add(c.terms.limit.Time)
	}
}

// count records a request.
func (c *coldness) count(now time.Time) {
	c.sent = append(c.sent, now)
	if extra := len(c.sent) - c.share; extra > 0 {
		c.sent = c.sent[extra:]
	}
}

// uncount takes back the last request, which was not sent.
func (c *coldness) uncount() {
	if n := len(c.sent); n > 0 {
		c.sent = c.sent[:n-1]
	}
}

// nextAt returns when the next request may be sent, zero for at once.
func (c *coldness) nextAt() time.Time {
	if c.share == 0 || len(c.sent) < c.share {
		return time.Time{}
	}
	return c.sent[len(c.sent)-c.share].Add(coldWindow)
}

// coldUntil returns until when the server is taken to be cold, by its entry or because
// it was away.
func (s *Server) coldUntil() time.Time {
	if told := s.entry().ColdUntil; told.After(s.cold.awayUntil) {
		return told
	}
	return s.cold.awayUntil
}

// isCold reports whether the limit of a cold server holds.
func (s *Server) isCold(now time.Time) bool { return s.cold.terms != nil && now.Before(s.coldUntil()) }

// coldShare returns how many requests a second this host may send while the server is
// cold. Most servers never are, so that the share is worked out when it is needed.
func (s *Server) coldShare() int {
	if t := s.cold.terms; s.cold.sharedBy != t {
		s.cold.sharedBy = t
		s.cold.share = coldShare(s.entry().ID, s.entry().Region, t.self, t.peers, t.limit.PerSecond)
	}
	return s.cold.share
}

// bears reports whether the server bears one more request of this host now.
func (s *Server) bears(now time.Time) bool {
	return !s.isCold(now) || s.coldShare() > 0 && !now.Before(s.cold.nextAt())
}

// wakeForCold looks at the waiting requests again when a cold server may get its next
// one: nothing ends at that moment that would wake them. The caller holds mu.
func (g *Group) wakeForCold(now time.Time) {
	var next time.Time
	for _, s := range g.servers {
		if !s.isOpen() || !s.isCold(now) || s.coldShare() == 0 {
			continue
		}
		if at := s.cold.nextAt(); at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if next.IsZero() || len(g.waiters) == 0 || g.wakesAt.After(now) && !next.Before(g.wakesAt) {
		return
	}
	g.wakesAt = next
	time.AfterFunc(next.Sub(now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.serveWaiters(time.Now())
	})
}

// LimitCold sets what cold servers bear, by service.
func (f *Fleet) LimitCold(limits map[string]ColdLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldLimits = limits
	f.limitCold()
}

// SetPeers sets the hosts that share cold servers.
func (f *Fleet) SetPeers(peers []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
	f.limitCold()
}

// limitCold hands limits and peers on. The caller holds mu.
func (f *Fleet) limitCold() {
	for name, g := range f.groups {
		g.limitCold(f.coldTerms(name))
	}
}

// coldTerms returns the terms of a service, or nil. The caller holds mu.
func (f *Fleet) coldTerms(service string) *coldTerms {
	l := f.coldLimits[service]
	if l.PerSecond <= 0 {
		return nil
	}
	return &coldTerms{l, f.place.Host, f.peers}
}

func (g *Group) limitCold(terms *coldTerms) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.cold.terms = terms
	}
	g.serveWaiters(time.Now())
}
