package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
	"github.com/godwithatch/godwithatch/modules/budget"
)

// Outcome is how a request to a server ended.
type Outcome int

// Outcomes of a request to a server.
const (
	// Answered means that the server ran the request and answered.
	Answered Outcome = iota
	// Failed means that the server ran the request and reported a failure.
	Failed
	// Refused means that the server stated that it did not run the request.
	Refused
	// Misdirected means that a server other than the intended one answered at its
	// address.
	Misdirected
	// Broken means that the connection broke or the reply was not a valid answer.
	Broken
	// ConnectionRejected means that the server reset a new connection at once. Servers do
	// so when they have reached their connection limit.
	ConnectionRejected // crowded
	// Unreachable means that no connection could be opened.
	Unreachable
	// TimedOut means that the request was abandoned because no answer had come for longer
	// than usual.
	TimedOut // silent
	// Cancelled means that the request was abandoned because its caller no longer needed
	// the answer.
	Cancelled // withdrawn
)

// OutcomeCount is the number of outcomes.
const OutcomeCount = int(Cancelled) + 1

//go:generate ../../../.bin/enumer -type=Outcome -transform=snake -linecomment -output=outcome_enumer.go

const (
	// typicalRiseWeight and typicalFallWeight are the weights of one reply in the moving
	// average of the typical service time.
	typicalRiseWeight = 0.06 // a reply that took longer than the average
	typicalFallWeight = 0.06 // a reply that took less time than the average
	// extraSendRatio is the number of extra sends (retries and hedges) per first send of a
	// request that the hosts together may make, if the deployment does not state it.
	extraSendRatio = 0.2
	// extraSendMargin is the share of that number that the hosts use. The rest is for
	// requests that several hosts count differently.
	extraSendMargin = 0.75
	// extraSendBurst is the maximum number of extra sends in immediate succession,
	// before further first sends refill the budget, on a host that does not know the
	// limit for all hosts.
	extraSendBurst = 3
	// minExtraSendBurst is the least burst. A host without a whole token could make no
	// extra send at all.
	minExtraSendBurst = 1.0
	// hedgeDelayFactor is the number of usual service times after which a hedge is due. A
	// hedge is an extra send that is made while the first reply is still pending.
	hedgeDelayFactor = 2.5
	// hedgeDelaySlack is added to the delay of a hedge, so that jitter does not trigger
	// hedges of short requests.
	hedgeDelaySlack = 6 * time.Millisecond
)

// Filter restricts the servers to which a request may be sent.
type Filter struct {
	// Tried are the servers to which the request has already been sent.
	Tried []*Server
	// AllowsRegion reports whether servers of a region may run the request; nil allows
	// all regions.
	AllowsRegion func(region string) bool
}

// Group holds the servers of one service. It is safe for concurrent use.
type Group struct {
	service    string
	extraSends *budget.Budget

	mu                 sync.Mutex
	servers            []*Server
	typicalServiceTime time.Duration
	waiters            []*waiter
	notices            notices
	// wakeAt is the earliest time at which a cold or resting server may receive its next
	// request. A timer then assigns servers to the waiters again.
	wakeAt time.Time
}

// extraSendBurstOf returns the burst of each of several hosts that share slack extra sends.
// The hosts do not know of each other's extra sends, so the parts must not add up to more
// than the slack. A slack of 0 means that it is not known.
func extraSendBurstOf(slack float64, hosts int) float64 {
	if slack <= 0 || hosts == 0 {
		return extraSendBurst
	}
	return min(max(slack/float64(hosts), minExtraSendBurst), extraSendBurst)
}

// newGroup returns an empty Group. ratio is the number of extra sends per first send that
// all hosts together may make.
func newGroup(service string, ratio float64) *Group {
	return &Group{service: service, extraSends: budget.New(extraSendMargin*ratio, extraSendBurst), typicalServiceTime: initialServiceTime}
}

// Service returns the name of the service.
func (g *Group) Service() string { return g.service }

// updateEntry replaces the stored entry of a server by e.
func (g *Group) updateEntry(s *Server, e membership.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.latest.Store(&e)
}

func (g *Group) setServers(servers []*Server, evacuated map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.removed = !slices.Contains(servers, s)
	}
	now := time.Now()
	for _, s := range servers {
		s.setEvacuated(evacuated[s.entry().DataCentre], now)
		g.notices.apply(s)
	}
	g.servers = servers
	g.serveWaiters(now)
}

func (g *Group) setEvacuatedDataCentres(dataCentres map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, s := range g.servers {
		s.setEvacuated(dataCentres[s.entry().DataCentre], now)
	}
}

func (g *Group) setRoundTrip(s *Server, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.roundTrip = d
}

// Deposit records the first send of a request, which adds its share to the budget for
// extra sends.
func (g *Group) Deposit() { g.extraSends.Deposit() }

// WithdrawExtraSend takes one extra send out of the budget. It reports false if the
// budget holds none.
func (g *Group) WithdrawExtraSend() bool { return g.extraSends.Withdraw() }

// TryAcquire picks a server as Pick does, but returns nil while other requests wait for
// a server of the group. If it returns nil, the second result reports whether the
// request should wait for a server: filter matches a usable server, and a request of
// the given rank can expect its answer within maxWait.
func (g *Group) TryAcquire(now time.Time, filter Filter, rank Rank, maxWait time.Duration) (*Server, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tryAcquire(now, filter, rank, maxWait)
}

// tryAcquire is TryAcquire for callers that hold mu.
func (g *Group) tryAcquire(now time.Time, filter Filter, rank Rank, maxWait time.Duration) (*Server, bool) {
	if len(g.waiters) == 0 {
		if s := g.pick(now, filter); s != nil {
			return s, false
		}
	}
	return nil, g.hasServer(filter, now, now.Add(maxWait)) && g.expectedLatency(rank, now) <= maxWait
}

// Pick returns the server with the least expected cost among those that match filter and
// have free capacity, and counts the request as in flight there. It returns nil if there
// is no such server. The caller must pass the server to Done, or to ReleaseUnused if the
// request was not sent.
func (g *Group) Pick(now time.Time, filter Filter) *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pick(now, filter)
}

// pick is Pick for callers that hold mu.
func (g *Group) pick(now time.Time, filter Filter) *Server {
	var best *Server
	var bestCost time.Duration
	n := len(g.servers)
	if n == 0 {
		return nil
	}
	offset := randomOffset(n)
	for i := range n {
		s := g.servers[(offset+i)%n]
		if !g.matches(s, filter) || !s.isUsable(now, g.typicalServiceTime) || s.isResting(now) ||
			s.inFlight >= s.inFlightLimit(now, g.typicalServiceTime) || !s.hasColdQuota(now) {
			continue
		}
		if cost := s.expectedCost(now, g.typicalServiceTime); best == nil || cost < bestCost {
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
	best.lastUsedAt = now
	if best.isCold(now) {
		best.cold.recordSend(now)
	}
	return best
}

func (g *Group) matches(s *Server, filter Filter) bool {
	if !s.isInRotation() || slices.Contains(filter.Tried, s) {
		return false
	}
	return filter.AllowsRegion == nil || filter.AllowsRegion(s.entry().Region)
}

// HasServers reports whether the group has a server that gets requests, whether or not it
// has free capacity.
func (g *Group) HasServers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.servers, (*Server).isInRotation)
}

// hasServer reports whether filter matches a server that can receive requests now or,
// before until, once it has free capacity. Servers that are draining, leaving, evacuated,
// removed or considered down do not count. The caller holds mu.
func (g *Group) hasServer(filter Filter, now, until time.Time) bool {
	return slices.ContainsFunc(g.servers, func(s *Server) bool {
		return g.matches(s, filter) && s.isUsable(now, g.typicalServiceTime) && (!s.isResting(now) || s.restUntil.Before(until))
	})
}

// HedgeDelay returns the time to wait for a reply of s before a hedge is sent.
func (g *Group) HedgeDelay(s *Server, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	service := min(s.serviceTime(now, g.typicalServiceTime), 2*g.typicalServiceTime)
	return s.roundTrip + time.Duration(hedgeDelayFactor*float64(service)) + hedgeDelaySlack
}

// ReleaseUnused undoes a Pick or TryAcquire whose request was not sent.
func (g *Group) ReleaseUnused(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.inFlight--
	s.cold.undoSend()
	g.serveWaiters(time.Now())
}

// ObserveObjective records whether a reply of s came early enough for the latency
// objective of its request.
func (g *Group) ObserveObjective(s *Server, isMet bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.observeObjective(isMet, now)
}

// Done records the end of a request that was sent to s: its outcome and the time from the
// send to the end.
func (g *Group) Done(s *Server, outcome Outcome, latency time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	silence := s.silence(now)
	s.inFlight--
	s.lastUsedAt = now
	switch outcome {
	case Answered:
		s.observeReply(now)
		if s.cold.isUnreachable {
			s.cold.markRecovered(now)
		}
		s.backoffTime, s.backoffUntil = 0, time.Time{}
		s.observeServiceTime(latency)
		s.observeFailure(0)
		g.observeTypicalServiceTime(latency - s.roundTrip)
	case Failed, Refused:
		s.observeReply(now)
		s.observeFailure(1)
	case Broken:
		s.observeReply(now)
		s.observeFailure(1)
	case ConnectionRejected:
		s.observeReply(now)
		s.observeFailure(1)
		s.connectionLimit, s.connectionLimitUntil = max(s.inFlight, 1), now.Add(connectionLimitTime)
	case Misdirected:
		s.backoffUntil = now.Add(misdirectedBackoff)
	case Unreachable:
		s.hasUnanswered = true
		s.cold.isUnreachable = true
		s.observeFailure(1)
		s.startBackoff(now)
	case TimedOut:
		if silence >= latency || silence > s.downAfter(now, g.typicalServiceTime) {
			s.hasUnanswered = true
		}
		s.observeFailure(1)
		if silence >= latency {
			s.startBackoff(now)
		}
	case Cancelled:
		if latency > silenceFactor*g.typicalServiceTime+s.roundTrip {
			s.observeServiceTime(latency)
			s.observeFailure(cancelledFailure)
		}
	}
	g.serveWaiters(now)
}

// observeTypicalServiceTime updates the moving average of the typical service time,
// which is meant to represent the healthy servers. Times above the average have a
// weight of their own, typicalRiseWeight, because a smaller weight for them makes slow
// servers raise the average less.
func (g *Group) observeTypicalServiceTime(d time.Duration) {
	weight := typicalRiseWeight
	if d < g.typicalServiceTime {
		weight = typicalFallWeight
	}
	g.typicalServiceTime = max(g.typicalServiceTime+time.Duration(weight*float64(d-g.typicalServiceTime)), minServiceTime)
}
