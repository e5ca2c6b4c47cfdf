package engine

import (
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
)

const (
	// extraSendRetryInterval is the interval at which a subrequest retries an extra send
	// that was denied for lack of capacity or budget. It is about one service time.
	extraSendRetryInterval = 15 * time.Millisecond
	// maxSends is the maximum number of sends of one subrequest, including those that did
	// not reach a server of the service.
	maxSends = 4
)

// Denial is the reason why an extra send was not made.
type Denial int

// The reasons for a denial.
const (
	NotDenied Denial = iota
	// NotIdempotent means that the request may have run and must not run twice.
	NotIdempotent
	NoAttempts
	NoTime
	NoRoom
	NoBudget
	// Suspected means that servers have ended during sends of the request.
	Suspected
	// Held means that the request is held back because it ends servers.
	Held
	// NoServer means that every server of the service has been tried, leaves, or wants no
	// requests until it is too late for an answer in time.
	NoServer
)

// denialCount is the number of Denial values, including NotDenied.
const denialCount = int(NoServer) + 1

//go:generate ../../../.bin/enumer -type=Denial -transform=snake -output=denial_enumer.go

// subrequest is the part of a request that goes to one service. It consists of a first
// send and, while the route and the budget allow them, extra sends. Only the event loop
// of the run accesses it.
type subrequest struct {
	group *fleet.Group
	// reserved is the server for the first send. If it is nil, mayWait reports whether
	// the subrequest may wait for a server, because its answer is expected within the
	// maximum wait.
	reserved *fleet.Server
	mayWait  bool
	tried    []*fleet.Server
	// pending is the number of sends without a reply.
	pending int
	// endedServers is the number of servers that ended during a send.
	endedServers int
	// sends counts all sends, and attempts only those that may have reached the service.
	sends    int
	attempts int
	// nextSendAt is the time at which the run next tries to make an extra send; zero
	// means never.
	nextSendAt time.Time
	// bestReply is the most informative reply so far; see keepBestReply.
	bestReply *Reply
	// denied is the reason why the latest extra send was not made, or NotDenied if it
	// was made or none was tried.
	denied Denial
	isDone bool
}

// keepBestReply makes r the best reply if it tells the client more than the best reply
// so far. A server's answer ranks first, then a reply after which the request may have
// run, then a reply after which the request certainly did not run. The client is
// therefore told "not run" only if that is true.
func (s *subrequest) keepBestReply(r *Reply) {
	if s.bestReply == nil || r.IsAnswer() || r.mayHaveRun() && !s.bestReply.IsAnswer() {
		s.bestReply = r
	}
}

// lastTried returns the server of the most recent send.
func (s *subrequest) lastTried() *fleet.Server { return s.tried[len(s.tried)-1] }

// denialReason returns the reason why an extra send is not allowed, or NotDenied. It does
// not consider capacity and budget.
func (s *subrequest) denialReason(req *Request, now time.Time) Denial {
	switch {
	case s.bestReply != nil && s.bestReply.mayHaveRun() && !req.Route.Idempotent:
		return NotIdempotent
	case s.pending > 0 && !req.Route.Idempotent:
		return NotIdempotent
	case s.attempts >= req.Route.MaxAttempts || s.sends >= maxSends:
		return NoAttempts
	case !now.Before(req.Deadline):
		return NoTime
	default:
		return NotDenied
	}
}

// isDenialTemporary reports whether an extra send that was denied may be possible
// later.
func (s *subrequest) isDenialTemporary() bool {
	return s.denied == NoRoom || s.denied == NoBudget || s.denied == Suspected
}
