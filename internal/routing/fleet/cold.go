package fleet

import (
	"time"

	"github.com/godwithatch/godwithatch/modules/rendezvous"
)

const (
	// coldWindow is the length of the sliding window in which the requests to a cold
	// server are counted. It is one second because the deployments limit the number of
	// requests in any second.
	coldWindow = time.Second
	// coldOtherRegionShare is the fraction of the limit on requests to a cold server
	// that all hosts outside the server's region get together. They need this fraction
	// only when the servers of their own region are gone. Without it they would then
	// have no server at all.
	coldOtherRegionShare = 0.25
)

// ColdLimit is the limit on requests to each cold server of one service. A server is cold
// when it has just started or has received no requests for a time, so that its caches are
// empty. The zero value means no limit.
type ColdLimit struct {
	// PerSecond is the maximum number of requests that all hosts together may send to a
	// cold server in any second; 0 means no limit.
	PerSecond int
	// Time is the time for which a server is assumed to be cold once it is reachable
	// again or no longer evacuated. If the server's entry states a later end, that end
	// applies.
	Time time.Duration
}

// Peer is one of the hosts that share the limits on requests to cold servers. This host
// is one of them.
type Peer struct {
	Name   string
	Region string
}

// coldShare returns the number of requests a second that the host self may send to a cold
// server. Hosts that know the same peers compute shares that add up to the limit, without
// communication. The share of a host that is disconnected or no longer running stays
// unused. The hosts in the server's region get most of the limit. A host that is not
// among the peers gets nothing.
//
// The shares prevent an overload when all servers of a data centre become reachable at
// once: all of them are then cold, and every host near them sends them requests again at
// the same moment.
func coldShare(server, region, self string, peers []Peer, perSecond int) int {
	selfWeight := rendezvous.Weight(server, self)
	isKnown, isNear := false, false
	for _, p := range peers {
		if p.Name == self {
			isKnown, isNear = true, p.Region == region
		}
	}
	if !isKnown {
		return 0
	}
	// peersOnSide counts the peers on the same side as self: those in the server's
	// region if self is in it, otherwise those outside. ahead counts the peers on that
	// side whose rendezvous weight for this server is greater than that of self. The
	// remainder of the division goes to the peers with the greatest weights.
	peersOnSide, ahead := 0, 0
	for _, p := range peers {
		if (p.Region == region) != isNear {
			continue
		}
		peersOnSide++
		if p.Name != self && rendezvous.Weight(server, p.Name) > selfWeight {
			ahead++
		}
	}
	sideLimit := perSecond
	if peersOnSide < len(peers) {
		sideLimit = int(coldOtherRegionShare * float64(perSecond))
		if isNear {
			sideLimit = perSecond - sideLimit
		}
	}
	share := sideLimit / peersOnSide
	if ahead < sideLimit%peersOnSide {
		share++
	}
	return share
}

// coldServerPolicy is the limit on requests to each cold server of one service, with the
// hosts that share the limit.
type coldServerPolicy struct {
	limit ColdLimit
	self  string
	peers []Peer
}

// coldServerState limits the requests that this host sends to a server while the server
// is cold. The zero value imposes no limit.
type coldServerState struct {
	// policy is nil if the service sets no limit.
	policy *coldServerPolicy
	// share is the number of requests a second that this host may send to the server
	// while the server is cold. It was computed from sharePolicy and is out of date if
	// policy differs from sharePolicy.
	share       int
	sharePolicy *coldServerPolicy
	// isUnreachable is set when a connection to the server can't be opened. It is
	// cleared when the server answers or its evacuation ends.
	isUnreachable bool
	// assumedColdUntil is the time until which the server is assumed to be cold because
	// it was unreachable or evacuated.
	assumedColdUntil time.Time
	// sentAt holds the times of the last requests that were sent to the server while it
	// was cold. It holds at most share times.
	sentAt []time.Time
}

// markRecovered records that the server is reachable again or no longer evacuated. The
// server is then assumed to be cold, because it may have restarted or received no
// requests in the meantime, and its entry may not yet say that it is cold.
func (c *coldServerState) markRecovered(now time.Time) {
	c.isUnreachable = false
	if c.policy != nil {
		c.assumedColdUntil = now.Add(c.policy.limit.Time)
	}
}

// recordSend records that a request is sent to the cold server now.
func (c *coldServerState) recordSend(now time.Time) {
	c.sentAt = append(c.sentAt, now)
	if extra := len(c.sentAt) - c.share; extra > 0 {
		c.sentAt = c.sentAt[extra:]
	}
}

// undoSend removes the record of the latest request, which was not sent after all.
func (c *coldServerState) undoSend() {
	if n := len(c.sentAt); n > 0 {
		c.sentAt = c.sentAt[:n-1]
	}
}

// nextSendAt returns the time from which this host may send the next request to the
// cold server, or the zero time if it may send one at once. If share is 0, this host
// may send none and the result has no meaning.
func (c *coldServerState) nextSendAt() time.Time {
	if c.share == 0 || len(c.sentAt) < c.share {
		return time.Time{}
	}
	return c.sentAt[len(c.sentAt)-c.share].Add(coldWindow)
}

// coldUntil returns the time until which the server is considered cold, according to its
// entry or because it was unreachable or evacuated.
func (s *Server) coldUntil() time.Time {
	if registered := s.entry().ColdUntil; registered.After(s.cold.assumedColdUntil) {
		return registered
	}
	return s.cold.assumedColdUntil
}

// isCold reports whether the limit on requests to cold servers applies to the server:
// its service sets such a limit, and the server is considered cold.
func (s *Server) isCold(now time.Time) bool { return s.cold.policy != nil && now.Before(s.coldUntil()) }

// coldShare returns the number of requests a second that this host may send while the
// server is cold. It computes the share on demand because most servers are never cold.
func (s *Server) coldShare() int {
	if policy := s.cold.policy; s.cold.sharePolicy != policy {
		s.cold.sharePolicy = policy
		s.cold.share = coldShare(s.entry().ID, s.entry().Region, policy.self, policy.peers, policy.limit.PerSecond)
	}
	return s.cold.share
}

// hasColdQuota reports whether this host may send the server one more request now without
// exceeding its share of the limit on requests to cold servers.
func (s *Server) hasColdQuota(now time.Time) bool {
	return !s.isCold(now) || s.coldShare() > 0 && !now.Before(s.cold.nextSendAt())
}

// scheduleWake starts a timer that assigns servers to the waiters when a cold or resting
// server may receive its next request. Without the timer, servers would be assigned only
// when a request ends, which may be later. The caller holds mu.
func (g *Group) scheduleWake(now time.Time) {
	if len(g.waiters) == 0 {
		return
	}
	var next time.Time
	for _, s := range g.servers {
		if at := s.nextRequestAt(now); at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if next.IsZero() || g.wakeAt.After(now) && !next.Before(g.wakeAt) {
		return
	}
	g.wakeAt = next
	time.AfterFunc(next.Sub(now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.serveWaiters(time.Now())
	})
}

// nextRequestAt returns the time from which a server that is cold or resting may receive
// its next request. It returns the zero time for other servers, and for a cold server to
// which this host may send none.
func (s *Server) nextRequestAt(now time.Time) time.Time {
	if !s.isInRotation() {
		return time.Time{}
	}
	if !s.isCold(now) {
		return s.restUntil
	}
	if s.coldShare() == 0 {
		return time.Time{}
	}
	if at := s.cold.nextSendAt(); at.After(s.restUntil) {
		return at
	}
	return s.restUntil
}

// SetColdLimits sets the limits on requests to cold servers, by service.
func (f *Fleet) SetColdLimits(limits map[string]ColdLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldLimits = limits
	f.applyColdServerPolicies()
}

// SetPeers sets the hosts that share the limits on requests to cold servers and on extra
// sends.
func (f *Fleet) SetPeers(peers []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
	f.applyColdServerPolicies()
	f.applyExtraSendBurst()
}

// applyColdServerPolicies passes the limits on requests to cold servers and the peers on
// to all groups. The caller holds mu.
func (f *Fleet) applyColdServerPolicies() {
	for name, g := range f.groups {
		g.setColdServerPolicy(f.coldServerPolicy(name))
	}
}

// coldServerPolicy returns the policy for the cold servers of a service, or nil if the
// service has no limit. The caller holds mu.
func (f *Fleet) coldServerPolicy(service string) *coldServerPolicy {
	l := f.coldLimits[service]
	if l.PerSecond <= 0 {
		return nil
	}
	return &coldServerPolicy{l, f.locality.Host, f.peers}
}

func (g *Group) setColdServerPolicy(policy *coldServerPolicy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.cold.policy = policy
	}
	g.serveWaiters(time.Now())
}
