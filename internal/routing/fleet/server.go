package fleet

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
	"github.com/godwithatch/godwithatch/modules/rendezvous"
)

const (
	// averageWeight is the weight of one observation in the moving averages.
	averageWeight = 0.2
	// failureWeight is the weight of one failure. It is high because another server is
	// found quickly, while each further failure costs an extra send.
	failureWeight = 0.35
	// isolatedFailureWeight is the weight of a failure after isolatedFailureAnswers
	// answers in a row. Some servers lose or corrupt one answer in fifty; avoiding them
	// for seconds after each costs more than an extra send.
	isolatedFailureWeight  = 0.06
	isolatedFailureAnswers = 5
	// serviceHalfLife is the time without use in which a server's average service time
	// loses half of its weight.
	serviceHalfLife = time.Second
	// failureCost is the time that a failed request is assumed to cost. It exceeds the
	// round trip to another region, because an extra send also takes from a small
	// budget.
	failureCost = 400 * time.Millisecond
	// failureHalfLife is the time without use in which a server's failure rate loses
	// half of its weight.
	failureHalfLife = 2 * time.Second
	// maxPreferenceCost is the greatest difference in cost that a host's order of
	// preference makes. The order keeps a host's requests at few servers, so that
	// connections are reused and the hosts of all regions fit into the connection limit
	// of a server.
	maxPreferenceCost = 6 * time.Millisecond
	// silenceFactor is how many usual service times a server may take to reply before
	// it counts as silent.
	silenceFactor = 3
	// silenceSlack keeps jitter from making servers with short requests count as
	// silent.
	silenceSlack = 8 * time.Millisecond
	// minSilenceCost is the least further wait expected at a silent server.
	minSilenceCost = 150 * time.Millisecond
	// minBackoff and maxBackoff bound how long a server that did not answer at all is
	// avoided.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// backoffCost ranks servers in backoff behind all others.
	backoffCost = 5 * time.Second
	// connectionLimitTime is how long no further connection is opened to a server that
	// reset a new one.
	connectionLimitTime = time.Second
	// misdirectedBackoff is how long an address at which another server answered is
	// avoided; its entry is about to be removed.
	misdirectedBackoff = 5 * time.Second
	// initialServiceTime is the typical service time of a group before the first
	// answer.
	initialServiceTime = 20 * time.Millisecond
	// connectCost is the time to open a connection beyond the round trip: the servers
	// of the deployments hold a slot for up to that time.
	connectCost = 6 * time.Millisecond
	// coldServiceFactor is how much slower than typical a cold server is assumed to be.
	coldServiceFactor = 1.6
	// minServiceTime is the lower bound of all service times.
	minServiceTime = 500 * time.Microsecond
	// sameRegionQueue and otherRegionQueue are how many requests of this host may wait
	// in a server's queue. Hosts of the server's region share it; others only send
	// overflow to it.
	sameRegionQueue  = 2
	otherRegionQueue = 0
	// limitGrowthFactor, limitIncrement, limitCutFactor, minLimit and limitCutInterval
	// adjust the concurrency limit of a server. It falls within some replies when the
	// server's queue makes them late, and rises again within a few replies in time.
	limitGrowthFactor = 1.15
	limitIncrement    = 0.05
	limitCutFactor    = 0.7
	minLimit          = 1
	limitCutInterval  = 100 * time.Millisecond
	// downAfterSilence is how long a server with work in flight may be silent, beyond
	// its usual time, before it counts as down. The longest pause of the deployments is
	// 250 ms.
	downAfterSilence = 350 * time.Millisecond
	// cancelledFailure is the failure value of a request that was cancelled after its
	// reply had taken far longer than usual: 0 is an answer, 1 a failure.
	cancelledFailure = 0.5
)

// Server holds what this host knows of one incarnation of a server. The mutex of its
// Group guards the mutable fields.
type Server struct {
	// latest is the newest entry. It is atomic because requests read it while an update
	// stores a newer one.
	latest    atomic.Pointer[membership.Entry]
	distance  Distance
	roundTrip time.Duration
	// preferenceCost orders servers of equal cost, differently on each host.
	preferenceCost time.Duration
	evacuated      bool
	removed        bool
	// isConnected is Fleet.isConnected.
	isConnected func(address string) bool

	inFlight int
	// progressAt is when the server last replied, or when it received work after being
	// idle.
	progressAt     time.Time
	usedAt         time.Time
	averageService time.Duration
	failureRate    float64
	// consecutiveAnswers counts the answers since the last failure.
	consecutiveAnswers int
	backoffUntil       time.Time
	backoff            time.Duration
	// concurrencyLimit is how many requests at once the server has recently answered in
	// time.
	concurrencyLimit float64
	limitCutAt       time.Time
	// connectionLimit bounds the requests in flight at the server until
	// connectionLimitUntil.
	connectionLimit      int
	connectionLimitUntil time.Time
	cold                 coldState
}

// newServer returns the state of a server of which the host self knows only the entry.
func newServer(e membership.Entry, d Distance, self string) *Server {
	weight := float64(rendezvous.Weight(e.ID, self)) / math.MaxUint64
	s := &Server{distance: d, preferenceCost: time.Duration(weight * float64(maxPreferenceCost)), concurrencyLimit: math.Inf(1)}
	s.latest.Store(&e)
	return s
}

// entry returns the newest entry of the server.
func (s *Server) entry() *membership.Entry { return s.latest.Load() }

// ID returns the identity of the server.
func (s *Server) ID() string { return s.entry().ID }

// Address returns the host and port of the server.
func (s *Server) Address() string { return s.entry().Address }

// Service returns the service of the server.
func (s *Server) Service() string { return s.entry().Service }

// Version returns the version of the server's software.
func (s *Server) Version() string { return s.entry().Version }

// DataCentre returns the data centre of the server.
func (s *Server) DataCentre() string { return s.entry().DataCentre }

// Sequence returns the sequence number of the newest entry, which counts the server's
// writes.
func (s *Server) Sequence() int64 { return s.entry().Sequence }

// Distance returns how far the server is from this host.
func (s *Server) Distance() Distance { return s.distance }

// ExtraRoundTrip returns how much later replies of the server arrive than those of
// servers in this host's region.
func (s *Server) ExtraRoundTrip() time.Duration {
	if s.distance == OtherRegion {
		return s.roundTrip
	}
	return 0
}

// isInRotation reports whether the server may receive new requests.
func (s *Server) isInRotation() bool { return !s.entry().Draining && !s.evacuated && !s.removed }

// evacuate records whether operators have evacuated the server's data centre. At the
// end of an evacuation the server is assumed to be cold, because it received no
// requests for a time.
func (s *Server) evacuate(evacuated bool, now time.Time) {
	if s.evacuated && !evacuated {
		s.cold.markRecovered(now)
	}
	s.evacuated = evacuated
}

// inFlightLimit returns how many requests this host may have in flight at the server. A
// server that is considered down may have one, which shows when it is back.
func (s *Server) inFlightLimit(now time.Time, typicalService time.Duration) int {
	if s.isDown(now, typicalService) {
		return 1
	}
	limit := s.maxInFlight()
	if now.Before(s.connectionLimitUntil) {
		limit = min(limit, s.connectionLimit)
	}
	return int(min(s.concurrencyLimit, float64(limit)))
}

// maxInFlight returns the limit for a server that answers in time.
func (s *Server) maxInFlight() int {
	if s.distance == OtherRegion {
		return s.entry().Capacity + otherRegionQueue
	}
	return s.entry().Capacity + sameRegionQueue
}

// observeObjective raises the concurrency limit after a reply in time and cuts it after
// a late one. It cuts at most once per limitCutInterval, because late replies come in
// groups.
func (s *Server) observeObjective(isMet bool, now time.Time) {
	most := float64(s.maxInFlight())
	s.concurrencyLimit = min(s.concurrencyLimit, most)
	switch {
	case isMet:
		s.concurrencyLimit = min(s.concurrencyLimit*limitGrowthFactor+limitIncrement, most)
	case now.Sub(s.limitCutAt) >= limitCutInterval:
		s.concurrencyLimit = max(s.concurrencyLimit*limitCutFactor, minLimit)
		s.limitCutAt = now
	}
}

// isDown reports whether the server is considered down.
func (s *Server) isDown(now time.Time, typicalService time.Duration) bool {
	if now.Before(s.backoffUntil) {
		return true
	}
	return s.silence(now) > s.roundTrip+silenceFactor*s.serviceTime(now, typicalService)+downAfterSilence
}

// isUsable reports whether the server may receive a new request, now or after a wait.
func (s *Server) isUsable(now time.Time, typicalService time.Duration) bool {
	if s.isCold(now) && s.coldShare() == 0 {
		return false
	}
	return !s.isDown(now, typicalService) || s.inFlight == 0 && !now.Before(s.backoffUntil)
}

// decay returns the weight, from 0 to 1, that past observations have after the time
// without use.
func (s *Server) decay(now time.Time, halfLife time.Duration) float64 {
	if s.inFlight > 0 {
		return 1
	}
	idle := now.Sub(s.usedAt)
	if idle <= 0 {
		return 1
	}
	// A rational function is close to exponential decay and cheaper.
	return 1 / (1 + float64(idle)/float64(halfLife))
}

// serviceTime returns the expected duration of one request at the server without the
// round trip.
func (s *Server) serviceTime(now time.Time, typicalService time.Duration) time.Duration {
	expected := typicalService
	if s.averageService > 0 {
		expected = typicalService + time.Duration(s.decay(now, serviceHalfLife)*float64(s.averageService-typicalService))
	}
	if now.Before(s.coldUntil()) {
		expected = max(expected, time.Duration(coldServiceFactor*float64(typicalService)))
	}
	return max(expected, minServiceTime)
}

// silence returns for how long the server has not replied while it has work in flight.
func (s *Server) silence(now time.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	return now.Sub(s.progressAt)
}

// isSilent reports whether the server has been silent for longer than usual.
func (s *Server) isSilent(now time.Time, typicalService time.Duration) bool {
	usual := s.serviceTime(now, typicalService)
	return s.silence(now) > s.roundTrip+silenceFactor*usual+silenceSlack
}

// expectedCost returns the expected cost of one more request as a duration: the round
// trip, the service time behind this host's other requests, and additions for failures,
// silence, backoff, a missing connection and distance.
func (s *Server) expectedCost(now time.Time, typicalService time.Duration) time.Duration {
	service := s.serviceTime(now, typicalService)
	slots := max(s.entry().Capacity, 1)
	cost := s.preferenceCost + s.roundTrip + service + service*time.Duration(s.inFlight)/time.Duration(slots)
	cost += time.Duration(s.failureRate * s.decay(now, failureHalfLife) * float64(failureCost))
	if s.isSilent(now, typicalService) {
		cost += max(minSilenceCost, s.silence(now))
	}
	if now.Before(s.backoffUntil) {
		cost += backoffCost
	}
	if s.isConnected != nil && !s.isConnected(s.entry().Address) {
		cost += s.roundTrip + connectCost
	}
	switch s.distance {
	case SameRegion:
		cost += sameRegionCost
	case OtherRegion:
		cost += otherRegionCost
	case SameDataCentre:
	}
	return cost
}

func (s *Server) observeServiceTime(latency time.Duration) {
	d := max(latency-s.roundTrip, minServiceTime)
	if s.averageService == 0 {
		s.averageService = d
		return
	}
	s.averageService += time.Duration(averageWeight * float64(d-s.averageService))
}

// observeFailure adds the end of a request to the failure rate: 0 for an answer, 1 for
// a failure.
func (s *Server) observeFailure(failed float64) {
	weight := averageWeight
	switch {
	case failed > s.failureRate && s.consecutiveAnswers >= isolatedFailureAnswers:
		weight = isolatedFailureWeight
	case failed > s.failureRate:
		weight = failureWeight
	}
	if failed > 0 {
		s.consecutiveAnswers = 0
	} else {
		s.consecutiveAnswers++
	}
	s.failureRate += weight * (failed - s.failureRate)
}

// startBackoff keeps new requests away from the server for a time that doubles with
// each repetition.
func (s *Server) startBackoff(now time.Time) {
	if now.Before(s.backoffUntil) {
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.backoffUntil = now.Add(s.backoff)
}
