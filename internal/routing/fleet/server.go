package fleet

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
	"github.com/godwithatch/godwithatch/modules/rendezvous"
)

const (
	// movingAverageWeight is the weight of one observation in a server's moving averages
	// of service time and failures, except where a constant below sets another weight.
	movingAverageWeight = 0.2
	// failureWeight is the weight of one failure in the failure rate. It is high because
	// another server is found quickly, while each further failure costs an extra send.
	failureWeight = 0.35
	// isolatedFailureWeight is the weight of a failure that follows at least
	// isolatedFailureAnswers consecutive answers. Some servers lose or corrupt one answer
	// in fifty. Avoiding such a server for seconds after each failure costs more than an
	// extra send.
	isolatedFailureWeight  = 0.06
	isolatedFailureAnswers = 5
	// serviceHalfLife is the time since the last request to a server after which its
	// average service time counts only half in the expected service time. The typical
	// service time of the group counts for the other half.
	serviceHalfLife = time.Second
	// failureCost is the time that a failed request is assumed to cost. It exceeds the
	// round trip to another region, because an extra send also uses up part of a small
	// budget.
	failureCost = 400 * time.Millisecond
	// failureHalfLife is the time since the last request to a server after which its
	// failure rate counts only half in the expected cost.
	failureHalfLife = 2 * time.Second
	// maxPreferenceCost is the upper bound of Server.preferenceCost, by which each host
	// has a fixed order of preference among servers of similar cost. The order
	// concentrates a host's requests on few servers. Connections are therefore reused,
	// and the hosts of all regions together stay within the connection limit of a server.
	maxPreferenceCost = 6 * time.Millisecond
	// silenceFactor is the number of usual service times after which a server that has
	// not replied counts as silent.
	silenceFactor = 3
	// silenceSlack is added to the time after which a server counts as silent, so that
	// jitter does not make servers with short requests count as silent.
	silenceSlack = 8 * time.Millisecond
	// minSilenceCost is the minimum further wait that is expected at a silent server.
	minSilenceCost = 150 * time.Millisecond
	// minBackoff and maxBackoff are the shortest and the longest backoff. A server in
	// backoff is avoided, because no connection to it could be opened or because a
	// request timed out without any reply of the server in the meantime.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// backoffCost is added to the expected cost of a server in backoff, so that all other
	// servers are preferred.
	backoffCost = 5 * time.Second
	// connectionLimitTime is the time for which no further connection is opened to a
	// server after it has reset a new connection.
	connectionLimitTime = time.Second
	// misdirectedBackoff is the time for which a server is avoided after another server
	// has answered at its address. The avoided server's entry is then about to be removed
	// from the store.
	misdirectedBackoff = 5 * time.Second
	// initialServiceTime is the typical service time of a group before the first
	// answer.
	initialServiceTime = 20 * time.Millisecond
	// connectCost is the time, in addition to the round trip, that opening a connection
	// takes. The servers of the deployments run a limited number of requests at a time,
	// each in a slot; a connection that is being opened occupies a slot for up to that
	// time.
	connectCost = 6 * time.Millisecond
	// coldServiceFactor is the factor by which the service time of a cold server, whose
	// caches are still empty, is assumed to exceed the typical service time.
	coldServiceFactor = 1.6
	// minServiceTime is the lower bound of all measured and expected service times.
	minServiceTime = 500 * time.Microsecond
	// sameRegionQueue and otherRegionQueue are the numbers of requests that this host
	// may have in flight at a server beyond the server's capacity. These requests wait
	// in the server's queue. The queue is shared by the hosts of the server's region.
	// Hosts of other regions may not use it; they send requests to the server only when
	// the servers of their own region are full.
	sameRegionQueue  = 2 // a server in this host's region
	otherRegionQueue = 0 // a server in another region
	// concurrencyGrowthFactor, concurrencyIncrement, concurrencyCutFactor,
	// minConcurrencyLimit and concurrencyCutInterval control the concurrency limit of a
	// server. A reply is in time if it comes early enough for the latency objective of
	// its request, and late otherwise. The limit falls within a few replies when the
	// server's queue makes replies late, and rises again within a few replies that are in
	// time.
	concurrencyGrowthFactor = 1.15                   // multiplies the limit after a reply in time
	concurrencyIncrement    = 0.05                   // is added to that product
	concurrencyCutFactor    = 0.7                    // multiplies the limit after a late reply
	minConcurrencyLimit     = 1                      // lower bound of the limit after a cut
	concurrencyCutInterval  = 100 * time.Millisecond // minimum time between two cuts
	// downAfterSilence is the time for which a server with requests in flight may be
	// silent, beyond its round trip and silenceFactor service times, before it counts
	// as down. It exceeds the longest pause of the deployments, 250 ms.
	downAfterSilence = 350 * time.Millisecond
	// cancelledFailure is the value that observeFailure records for a request that was
	// cancelled after waiting far longer than usual for its reply. On this scale, 0 is
	// an answer and 1 a failure.
	cancelledFailure = 0.5
)

// Server holds what this host knows of one incarnation of a server, that is, of the
// server from one start to the next. The mutex of its Group guards the mutable fields.
type Server struct {
	// latest is the newest entry. It is atomic because requests read it while an update
	// stores a newer one.
	latest    atomic.Pointer[membership.Entry]
	distance  Distance
	roundTrip time.Duration
	// preferenceCost is a constant part of the expected cost. It differs between hosts,
	// so that each host prefers different servers among those of otherwise equal cost.
	preferenceCost time.Duration
	evacuated      bool
	removed        bool
	// isLeaving and restUntil are what the server stated in its answers; see Notice.
	isLeaving bool
	restUntil time.Time
	// isConnected is the function of the same name in Fleet.
	isConnected func(address string) bool

	inFlight int
	// progressAt is the time of the server's last reply to this host or, if that is
	// later, the time at which this host sent it a request while none was in flight.
	progressAt time.Time
	// repliedAt is the time of the server's last reply to this host, and hasUnanswered means
	// that a request has ended without a reply since.
	repliedAt          time.Time
	hasUnanswered      bool
	lastUsedAt         time.Time
	averageServiceTime time.Duration
	failureRate        float64
	// consecutiveAnswers counts the answers since the last failure.
	consecutiveAnswers int
	backoffUntil       time.Time
	backoffTime        time.Duration
	// concurrencyLimit limits the requests of this host in flight at the server. It
	// follows the number of concurrent requests that the server has recently answered
	// in time for their latency objectives.
	concurrencyLimit float64
	concurrencyCutAt time.Time
	// connectionLimit bounds the requests in flight at the server until
	// connectionLimitUntil.
	connectionLimit      int
	connectionLimitUntil time.Time
	cold                 coldServerState
}

// newServer returns the Server for an entry, without any observations yet. self is the
// name of this host.
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

// Incarnation identifies the start of the server among all starts of all servers.
func (s *Server) Incarnation() string {
	e := s.entry()
	return e.ID + "/" + strconv.FormatInt(e.StartUnixMs, 36)
}

// Address returns the host and port of the server.
func (s *Server) Address() string { return s.entry().Address }

// Service returns the name of the server's service.
func (s *Server) Service() string { return s.entry().Service }

// Version returns the version of the server's software.
func (s *Server) Version() string { return s.entry().Version }

// DataCentre returns the data centre of the server.
func (s *Server) DataCentre() string { return s.entry().DataCentre }

// Sequence returns the sequence number of the server's newest entry. The server
// increments it each time it writes its entry.
func (s *Server) Sequence() int64 { return s.entry().Sequence }

// Distance returns how far the server is from this host.
func (s *Server) Distance() Distance { return s.distance }

// ExtraRoundTrip returns the additional time that replies of the server take compared
// with those of servers in this host's region. Round trips within the region are
// neglected.
func (s *Server) ExtraRoundTrip() time.Duration {
	if s.distance == OtherRegion {
		return s.roundTrip
	}
	return 0
}

// isInRotation reports whether the server is one of the current servers of its service,
// is not draining, has not stated that it leaves and is not evacuated. Other servers
// receive no new requests.
func (s *Server) isInRotation() bool {
	return !s.entry().Draining && !s.isLeaving && !s.evacuated && !s.removed
}

// setEvacuated records whether operators have evacuated the server's data centre. At the
// end of an evacuation the server is assumed to be cold, because it received no requests
// while it was evacuated.
func (s *Server) setEvacuated(evacuated bool, now time.Time) {
	if s.evacuated && !evacuated {
		s.cold.markRecovered(now)
	}
	s.evacuated = evacuated
}

// inFlightLimit returns the number of requests that this host may have in flight at the
// server. A server that is considered down may have one request in flight; an answer to
// that request shows that the server has recovered.
func (s *Server) inFlightLimit(now time.Time, typicalServiceTime time.Duration) int {
	if s.isDown(now, typicalServiceTime) {
		return 1
	}
	limit := s.maxInFlight()
	if now.Before(s.connectionLimitUntil) {
		limit = min(limit, s.connectionLimit)
	}
	return int(min(s.concurrencyLimit, float64(limit)))
}

// maxInFlight returns the number of requests that this host may have in flight at the
// server if neither concurrencyLimit nor connectionLimit is lower.
func (s *Server) maxInFlight() int {
	if s.distance == OtherRegion {
		return s.entry().Capacity + otherRegionQueue
	}
	return s.entry().Capacity + sameRegionQueue
}

// observeObjective raises the concurrency limit after a reply that met the latency
// objective of its request and cuts it after one that missed the objective. It cuts the
// limit at most once per concurrencyCutInterval, because late replies come in groups.
func (s *Server) observeObjective(isMet bool, now time.Time) {
	most := float64(s.maxInFlight())
	s.concurrencyLimit = min(s.concurrencyLimit, most)
	switch {
	case isMet:
		s.concurrencyLimit = min(s.concurrencyLimit*concurrencyGrowthFactor+concurrencyIncrement, most)
	case now.Sub(s.concurrencyCutAt) >= concurrencyCutInterval:
		s.concurrencyLimit = max(s.concurrencyLimit*concurrencyCutFactor, minConcurrencyLimit)
		s.concurrencyCutAt = now
	}
}

// isDown reports whether the server is considered down. This is so if it is in backoff,
// or if it has requests in flight and has been silent for longer than its round trip,
// silenceFactor service times and downAfterSilence together.
func (s *Server) isDown(now time.Time, typicalServiceTime time.Duration) bool {
	if now.Before(s.backoffUntil) {
		return true
	}
	return s.silence(now) > s.downAfter(now, typicalServiceTime)
}

// downAfter returns the time for which the server with requests in flight may be silent
// before it counts as down.
func (s *Server) downAfter(now time.Time, typicalServiceTime time.Duration) time.Duration {
	return s.roundTrip + silenceFactor*s.serviceTime(now, typicalServiceTime) + downAfterSilence
}

// isUsable reports whether the server can receive a new request, now or once it has
// free capacity. A server that is considered down can't. Neither can a cold server if
// this host's share of the limit on requests to it is zero.
func (s *Server) isUsable(now time.Time, typicalServiceTime time.Duration) bool {
	if s.isCold(now) && s.coldShare() == 0 {
		return false
	}
	return !s.isDown(now, typicalServiceTime) || s.inFlight == 0 && !now.Before(s.backoffUntil)
}

// decay returns the weight, from 0 to 1, that past observations of the server still
// have. The weight is 1 while requests are in flight, and falls with the time since the
// last request otherwise.
func (s *Server) decay(now time.Time, halfLife time.Duration) float64 {
	if s.inFlight > 0 {
		return 1
	}
	idle := now.Sub(s.lastUsedAt)
	if idle <= 0 {
		return 1
	}
	// A rational function is cheaper than exponential decay and close to it.
	return 1 / (1 + float64(idle)/float64(halfLife))
}

// serviceTime returns the expected duration of one request at the server without the
// round trip.
func (s *Server) serviceTime(now time.Time, typicalServiceTime time.Duration) time.Duration {
	expected := typicalServiceTime
	if s.averageServiceTime > 0 {
		expected = typicalServiceTime + time.Duration(s.decay(now, serviceHalfLife)*float64(s.averageServiceTime-typicalServiceTime))
	}
	if now.Before(s.coldUntil()) {
		expected = max(expected, time.Duration(coldServiceFactor*float64(typicalServiceTime)))
	}
	return max(expected, minServiceTime)
}

// silence returns the time for which the server has had requests of this host in flight
// without replying to any, or zero if none is in flight.
func (s *Server) silence(now time.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	return now.Sub(s.progressAt)
}

// isSilent reports whether the server has been silent for so long that it should be
// avoided.
func (s *Server) isSilent(now time.Time, typicalServiceTime time.Duration) bool {
	usual := s.serviceTime(now, typicalServiceTime)
	return s.silence(now) > s.roundTrip+silenceFactor*usual+silenceSlack
}

// expectedCost returns the expected cost of one more request as a duration. The cost
// consists of the round trip, the service time, the wait for this host's other requests
// at the server, the host's preference, and additions for failures, silence, backoff, a
// missing connection and distance.
func (s *Server) expectedCost(now time.Time, typicalServiceTime time.Duration) time.Duration {
	service := s.serviceTime(now, typicalServiceTime)
	slots := max(s.entry().Capacity, 1)
	cost := s.preferenceCost + s.roundTrip + service + service*time.Duration(s.inFlight)/time.Duration(slots)
	cost += time.Duration(s.failureRate * s.decay(now, failureHalfLife) * float64(failureCost))
	if s.isSilent(now, typicalServiceTime) {
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
	if s.averageServiceTime == 0 {
		s.averageServiceTime = d
		return
	}
	s.averageServiceTime += time.Duration(movingAverageWeight * float64(d-s.averageServiceTime))
}

// observeFailure updates the failure rate with the result of one request. failed is 0
// for an answer, 1 for a failure and cancelledFailure for a request that was cancelled
// after an unusually long wait.
func (s *Server) observeFailure(failed float64) {
	weight := movingAverageWeight
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

// startBackoff starts a backoff, during which the server is avoided. Until the server
// answers, each backoff lasts twice as long as the one before, but at most maxBackoff.
func (s *Server) startBackoff(now time.Time) {
	if now.Before(s.backoffUntil) {
		return
	}
	s.backoffTime = min(max(2*s.backoffTime, minBackoff), maxBackoff)
	s.backoffUntil = now.Add(s.backoffTime)
}
