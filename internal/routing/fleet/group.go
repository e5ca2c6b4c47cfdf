package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
	"github.com/godwithatch/godwithatch/modules/budget"
)

// Outcome is how a request at a server ended.
type Outcome int

// The outcomes.
const (
	// Answered means that the server ran the request and answered.
	Answered Outcome = iota
	// Failed means that the server ran the request and reported a failure.
	Failed
	// Refused means that the server stated that it did not run the request.
	Refused
	// Misdirected means that another server has the address.
	Misdirected
	// Broken means that the connection broke or the answer was no answer.
	Broken
	// Crowded means that a new connection was reset at once, as servers do that
	// have as many as they take.
	Crowded
	// Unreachable means that no connection could be opened.
	Unreachable
	// Silent means that the request was given up without an answer after longer
	// than usual.
	Silent
	// Withdrawn means that the request was given up for reasons of the caller.
	Withdrawn
)

// OutcomeCount is the number of outcomes.
const OutcomeCount = int(Withdrawn) + 1

//go:generate ../../../.bin/enumer -type=Outcome -transform=snake -output=outcome_enumer.go

const (
	// typicalRise and typicalFall are the weights of a reply that took more and
	// less than the typical time.
	typicalRise = 0.06
	typicalFall = 0.06
	// extraShare is the part of the first sends that may be sent a second time.
	// The deployments allow 0.2 over all hosts; the distance pays for requests
	// that several hosts count differently.
	extraShare = 0.15
	// extraBurst is how many second sends may follow each other. Hosts do not
	// know each other, so it is small against the slack of the deployments.
	extraBurst = 3
	// secondSendFactor is how many usual service times a reply may take before a
	// second send.
	secondSendFactor = 2.5
	// secondSendSlack keeps short requests from following jitter.
	secondSendSlack = 6 * time.Millisecond
)

// Ask says what a request needs of its server.
type Ask struct {
	// Tried are the servers that the request was sent to already.
	Tried []*Server
	// Allows reports whether a region may serve; nil allows all.
	Allows func(region string) bool
}

// Group is the servers of one service. It is safe for concurrent use.
type Group struct {
	service string
	extras  *budget.Budget

	mu      sync.Mutex
	servers []*Server
	typical time.Duration
	waiters []*waiter
	// wakesAt is when the waiters are looked at again for a cold server.
	wakesAt time.Time
}

func newGroup(service string) *Group {
	return &Group{service: service, extras: budget.New(extraShare, extraBurst), typical: servicePrior}
}

// Service returns the name of the service.
func (g *Group) Service() string { return g.service }

// adopt takes in a newer entry of a server.
func (g *Group) adopt(s *Server, e membership.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.told.Store(&e)
}

func (g *Group) replace(servers []*Server, evacuated map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.removed = !slices.Contains(servers, s)
	}
	now := time.Now()
	for _, s := range servers {
		s.evacuate(evacuated[s.entry().Zone], now)
	}
	g.servers = servers
	g.serveWaiters(now)
}

func (g *Group) evacuate(zones map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, s := range g.servers {
		s.evacuate(zones[s.entry().Zone], now)
	}
}

func (g *Group) setRoundTrip(s *Server, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.roundTrip = d
}

// Deposit counts the first send of a request, which pays for extra ones.
func (g *Group) Deposit() { g.extras.Deposit() }

// MaySendAgain takes one extra send out of the budget.
func (g *Group) MaySendAgain() bool { return g.extras.Withdraw() }

// Take returns a server as Pick does unless other requests wait for one. It
// reports whether a request of a rank may find room within patience.
func (g *Group) Take(now time.Time, ask Ask, rank Rank, patience time.Duration) (*Server, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.take(now, ask, rank, patience)
}

// take is Take with mu held.
func (g *Group) take(now time.Time, ask Ask, rank Rank, patience time.Duration) (*Server, bool) {
	if len(g.waiters) == 0 {
		if s := g.pick(now, ask); s != nil {
			return s, false
		}
	}
	return nil, g.hasServer(ask, now) && g.expectedWait(rank, now) <= patience
}

// Pick returns the open server with the least expected cost and room, and counts
// the request as in flight there. It returns nil if there is none. Done must
// follow.
func (g *Group) Pick(now time.Time, ask Ask) *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pick(now, ask)
}

// pick is Pick with mu held.
func (g *Group) pick(now time.Time, ask Ask) *Server {
	var best *Server
	var bestCost time.Duration
	n := len(g.servers)
	if n == 0 {
		return nil
	}
	offset := randomOffset(n)
	for i := range n {
		s := g.servers[(offset+i)%n]
		if !g.fits(s, ask) || !s.isUsable(now, g.typical) || s.inFlight >= s.room(now, g.typical) || !s.bears(now) {
			continue
		}
		if cost := s.expected(now, g.typical); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return nil
	}
	if best.inFlight == 0 {
		best.progressAt = now
	}
	best.inFlight++
	best.usedAt = now
	if best.isCold(now) {
		best.cold.count(now)
	}
	return best
}

func (g *Group) fits(s *Server, ask Ask) bool {
	if !s.isOpen() || slices.Contains(ask.Tried, s) {
		return false
	}
	return ask.Allows == nil || ask.Allows(s.entry().Region)
}

// HasServer reports whether any open server fits that is not taken to be down,
// with room or without.
func (g *Group) HasServer(ask Ask) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasServer(ask, time.Now())
}

func (g *Group) hasServer(ask Ask, now time.Time) bool {
	return slices.ContainsFunc(g.servers, func(s *Server) bool {
		return g.fits(s, ask) && s.isUsable(now, g.typical)
	})
}

// SecondSendAfter returns how long to wait for a reply of s before a second send.
func (g *Group) SecondSendAfter(s *Server, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	service := min(s.serviceTime(now, g.typical), 2*g.typical)
	return s.roundTrip + time.Duration(secondSendFactor*float64(service)) + secondSendSlack
}

// GiveBack takes back a Pick or Take whose request was not sent.
func (g *Group) GiveBack(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.inFlight--
	s.cold.uncount()
	g.serveWaiters(time.Now())
}

// ObserveInTime records whether a reply came while it was worth its full value.
func (g *Group) ObserveInTime(s *Server, inTime bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.observeInTime(inTime, now)
}

// Done records the end of a request at a server.
func (g *Group) Done(s *Server, outcome Outcome, latency time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	silence := s.silence(now)
	s.inFlight--
	s.usedAt = now
	switch outcome {
	case Answered:
		s.progressAt = now
		if s.cold.isAway {
			s.cold.cameBack(now)
		}
		s.pause, s.pauseUntil = 0, time.Time{}
		s.observeService(latency)
		s.observeFailure(0)
		g.observeTypical(latency - s.roundTrip)
	case Failed, Refused:
		s.progressAt = now
		s.observeFailure(1)
	case Broken:
		s.progressAt = now
		s.observeFailure(1)
	case Crowded:
		s.progressAt = now
		s.observeFailure(1)
		s.crowdedRoom, s.crowdedUntil = max(s.inFlight, 1), now.Add(crowdedTime)
	case Misdirected:
		s.pauseUntil = now.Add(misdirectedPause)
	case Unreachable:
		s.cold.isAway = true
		s.observeFailure(1)
		s.passOver(now)
	case Silent:
		s.observeFailure(1)
		if silence >= latency {
			s.passOver(now)
		}
	case Withdrawn:
		if latency > silenceFactor*g.typical+s.roundTrip {
			s.observeService(latency)
			s.observeFailure(withdrawnFailure)
		}
	}
	g.serveWaiters(now)
}

// observeTypical follows the service time of the servers that are well: a fall
// counts more than a rise, so that slow servers don't raise it much.
func (g *Group) observeTypical(d time.Duration) {
	weight := typicalRise
	if d < g.typical {
		weight = typicalFall
	}
	g.typical = max(g.typical+time.Duration(weight*float64(d-g.typical)), serviceFloor)
}
