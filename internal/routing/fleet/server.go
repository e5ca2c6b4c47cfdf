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
	// failureWeight is the weight of one failure: a second server is soon found,
	// and each further failure costs an extra send.
	failureWeight = 0.35
	// strayWeight is the weight of a failure after strayAnswers answers in a row. Some
	// servers lose or spoil one answer in fifty; keeping away from them for seconds
	// after each costs more than a second send.
	strayWeight  = 0.06
	strayAnswers = 5
	// fadeTime is the time without use in which what is known of a server loses
	// half of its weight.
	fadeTime = time.Second
	// failureCost is the time that a failed request is taken to cost. It is more
	// than the way to another region and back, because a further send also takes
	// from a small budget.
	failureCost = 400 * time.Millisecond
	// failureFade is the time without use in which half of what is known of
	// failures is forgotten.
	failureFade = 2 * time.Second
	// preferenceCost is the greatest difference that the order of a host makes. It
	// keeps the host at few servers, so that connections are used again and the
	// hosts of all regions fit into the limit of a server.
	preferenceCost = 6 * time.Millisecond
	// silenceFactor is how many usual service times a server may be silent.
	silenceFactor = 3
	// silenceSlack keeps short requests from following jitter.
	silenceSlack = 8 * time.Millisecond
	// silenceCost is the least further wait at a silent server.
	silenceCost = 150 * time.Millisecond
	// firstPause and lastPause bound how long a server that did not answer at all
	// is passed over.
	firstPause = 200 * time.Millisecond
	lastPause  = 2 * time.Second
	// pauseCost ranks servers that are passed over behind all others.
	pauseCost = 5 * time.Second
	// crowdedTime is how long no further connection is opened to a server that
	// reset a new one.
	crowdedTime = time.Second
	// misdirectedPause is how long an address that another server answered at is
	// passed over; its entry is about to go.
	misdirectedPause = 5 * time.Second
	// servicePrior is the service time of a group before any answer.
	servicePrior = 20 * time.Millisecond
	// openCost is what opening a connection takes beside the way there and back: the
	// servers of the deployments hold a slot for up to that time.
	openCost = 6 * time.Millisecond
	// coldFactor is how much slower a cold server is taken to be.
	coldFactor = 1.6
	// serviceFloor is the least service time.
	serviceFloor = 500 * time.Microsecond
	// nearQueue and farQueue are how many requests of this host may wait in a
	// server's queue: hosts of the same region share a server, others only spill.
	nearQueue = 2
	farQueue  = 0
	// limitGrowth, limitRise, limitCut, limitFloor and limitInterval move the limit
	// of a server: down within some replies when its queue makes them late, up
	// again within a few replies in time.
	limitGrowth   = 1.15
	limitRise     = 0.05
	limitCut      = 0.7
	limitFloor    = 1
	limitInterval = 100 * time.Millisecond
	// darkAfter is how long a server with work may be silent, beyond its usual
	// time, before it counts as down. The longest pause of the deployments is
	// 250 ms.
	darkAfter = 350 * time.Millisecond
	// withdrawnFailure is how much of a failure it is that a reply took so long
	// that nobody needed it any more.
	withdrawnFailure = 0.5
)

// Server is what this host knows of one incarnation of a server. Its Group
// guards the mutable fields.
type Server struct {
	// told is the newest entry. Requests read it while a newer one comes in.
	told      atomic.Pointer[membership.Entry]
	distance  Distance
	roundTrip time.Duration
	// preference orders servers that are equally good, differently at each host.
	preference time.Duration
	evacuated  bool
	removed    bool
	// isConnected is that of the Fleet.
	isConnected func(address string) bool

	inFlight int
	// progressAt is when the server last answered, or when it got work after a
	// time without.
	progressAt time.Time
	usedAt     time.Time
	service    time.Duration
	failures   float64
	// answers are those in a row since the last failure.
	answers    int
	pauseUntil time.Time
	pause      time.Duration
	// limit is how many requests at once the server has lately answered in time.
	limit     float64
	limitedAt time.Time
	// crowdedRoom bounds the requests at a server until crowdedUntil.
	crowdedRoom  int
	crowdedUntil time.Time
	cold         coldness
}

// newServer returns what the host self knows of a new server.
func newServer(e membership.Entry, d Distance, self string) *Server {
	weight := float64(rendezvous.Weight(e.ID, self)) / math.MaxUint64
	s := &Server{distance: d, preference: time.Duration(weight * float64(preferenceCost)), limit: math.Inf(1)}
	s.told.Store(&e)
	return s
}

// entry returns the newest entry of the server.
func (s *Server) entry() *membership.Entry { return s.told.Load() }

// ID returns the identity of the server.
func (s *Server) ID() string { return s.entry().ID }

// Address returns host and port.
func (s *Server) Address() string { return s.entry().Address }

// Service returns the service of the server.
func (s *Server) Service() string { return s.entry().Service }

// Version returns the version of the server's software.
func (s *Server) Version() string { return s.entry().Version }

// Zone returns the zone of the server.
func (s *Server) Zone() string { return s.entry().Zone }

// Sequence returns how often the server had written its entry when it was read.
func (s *Server) Sequence() int64 { return s.entry().Sequence }

// Distance returns how far the server is.
func (s *Server) Distance() Distance { return s.distance }

// FartherBy returns how much later than those of a near server its replies come.
func (s *Server) FartherBy() time.Duration {
	if s.distance == OtherRegion {
		return s.roundTrip
	}
	return 0
}

// isOpen reports whether the server may get new work.
func (s *Server) isOpen() bool { return !s.entry().Draining && !s.evacuated && !s.removed }

// evacuate records whether operators have taken the server's zone out. Servers that
// got nothing for a time may have cooled down.
func (s *Server) evacuate(evacuated bool, now time.Time) {
	if s.evacuated && !evacuated {
		s.cold.cameBack(now)
	}
	s.evacuated = evacuated
}

// room returns how many requests this host may have at the server. A server that
// is taken to be down gets one, which tells when it is back.
func (s *Server) room(now time.Time, typical time.Duration) int {
	if s.isDark(now, typical) {
		return 1
	}
	room := s.mostRoom()
	if now.Before(s.crowdedUntil) {
		room = min(room, s.crowdedRoom)
	}
	return int(min(s.limit, float64(room)))
}

// mostRoom is the room at a server that answers in time.
func (s *Server) mostRoom() int {
	if s.distance == OtherRegion {
		return s.entry().Capacity + farQueue
	}
	return s.entry().Capacity + nearQueue
}

// observeInTime raises the limit after a reply in time and cuts it after a late
// one, at most once in limitInterval, since late replies come in groups.
func (s *Server) observeInTime(inTime bool, now time.Time) {
	most := float64(s.mostRoom())
	s.limit = min(s.limit, most)
	switch {
	case inTime:
		s.limit = min(s.limit*limitGrowth+limitRise, most)
	case now.Sub(s.limitedAt) >= limitInterval:
		s.limit = max(s.limit*limitCut, limitFloor)
		s.limitedAt = now
	}
}

// isDark reports whether the server is taken to be down.
func (s *Server) isDark(now time.Time, typical time.Duration) bool {
	if now.Before(s.pauseUntil) {
		return true
	}
	return s.silence(now) > s.roundTrip+silenceFactor*s.serviceTime(now, typical)+darkAfter
}

// isUsable reports whether the server may get new work, now or after a wait.
func (s *Server) isUsable(now time.Time, typical time.Duration) bool {
	if s.isCold(now) && s.coldShare() == 0 {
		return false
	}
	return !s.isDark(now, typical) || s.inFlight == 0 && !now.Before(s.pauseUntil)
}

// fade returns how much of what is known still counts after a time without use.
func (s *Server) fade(now time.Time, half time.Duration) float64 {
	if s.inFlight > 0 {
		return 1
	}
	idle := now.Sub(s.usedAt)
	if idle <= 0 {
		return 1
	}
	// A rational curve is close to a half-life and cheap.
	return 1 / (1 + float64(idle)/float64(half))
}

// serviceTime returns the expected time of one request at the server without
// the way there.
func (s *Server) serviceTime(now time.Time, typical time.Duration) time.Duration {
	own := typical
	if s.service > 0 {
		own = typical + time.Duration(s.fade(now, fadeTime)*float64(s.service-typical))
	}
	if now.Before(s.coldUntil()) {
		own = max(own, time.Duration(coldFactor*float64(typical)))
	}
	return max(own, serviceFloor)
}

// silence returns how long the server has been silent with work in flight.
func (s *Server) silence(now time.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	return now.Sub(s.progressAt)
}

// isSilent reports whether the server is silent for longer than usual.
func (s *Server) isSilent(now time.Time, typical time.Duration) bool {
	usual := s.serviceTime(now, typical)
	return s.silence(now) > s.roundTrip+silenceFactor*usual+silenceSlack
}

// expected returns the cost of one more request as a time: the way, the service
// behind this host's other requests, and what failures, silence and distance
// add.
func (s *Server) expected(now time.Time, typical time.Duration) time.Duration {
	service := s.serviceTime(now, typical)
	slots := max(s.entry().Capacity, 1)
	cost := s.preference + s.roundTrip + service + service*time.Duration(s.inFlight)/time.Duration(slots)
	cost += time.Duration(s.failures * s.fade(now, failureFade) * float64(failureCost))
	if s.isSilent(now, typical) {
		cost += max(silenceCost, s.silence(now))
	}
	if now.Before(s.pauseUntil) {
		cost += pauseCost
	}
	if s.isConnected != nil && !s.isConnected(s.entry().Address) {
		cost += s.roundTrip + openCost
	}
	switch s.distance {
	case SameRegion:
		cost += regionCost
	case OtherRegion:
		cost += farCost
	case SameZone:
	}
	return cost
}

func (s *Server) observeService(latency time.Duration) {
	d := max(latency-s.roundTrip, serviceFloor)
	if s.service == 0 {
		s.service = d
		return
	}
	s.service += time.Duration(averageWeight * float64(d-s.service))
}

// observeFailure takes in how much of a failure the end of a request was.
func (s *Server) observeFailure(failed float64) {
	weight := averageWeight
	switch {
	case failed > s.failures && s.answers >= strayAnswers:
		weight = strayWeight
	case failed > s.failures:
		weight = failureWeight
	}
	if failed > 0 {
		s.answers = 0
	} else {
		s.answers++
	}
	s.failures += weight * (failed - s.failures)
}

// passOver keeps new work away for a time that doubles with each repetition.
func (s *Server) passOver(now time.Time) {
	if now.Before(s.pauseUntil) {
		return
	}
	s.pause = min(max(2*s.pause, firstPause), lastPause)
	s.pauseUntil = now.Add(s.pause)
}
