package engine

import (
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
)

const (
	// retryInterval is how long a subrequest without capacity or budget for an extra
	// send waits before it tries again: about one service time.
	retryInterval = 15 * time.Millisecond
	// maxSends bounds the sends of one subrequest, including those that did not reach
	// a server of the service.
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
)

// denialCount is the number of Denial values, including NotDenied.
const denialCount = int(NoBudget) + 1

//go:generate ../../../.bin/enumer -type=Denial -transform=snake -output=denial_enumer.go

// subrequest is the part of a request that goes to one service: a first send, and
// extra sends while the route and the budget allow them. Only the event loop of its
// run uses it.
type subrequest struct {
	group *fleet.Group
	// reserved is the server of the first send. If it is nil, mayWait reports whether
	// a server may have capacity in time.
	reserved *fleet.Server
	mayWait  bool
	tried    []*fleet.Server
	// pending is the number of sends without a reply.
	pending int
	// sends counts all sends, attempts only those that may have reached the service.
	sends    int
	attempts int
	// nextSendAt is when to consider an extra send; zero means never.
	nextSendAt time.Time
	// bestReply is the most informative reply so far.
	bestReply *Reply
	// denied is why the last extra send was not made.
	denied Denial
	isDone bool
}

// keepBestReply keeps the reply that tells the client most. A server's answer comes
// before an unknown outcome, and that before a refusal, so that the client is told
// "not run" only if it is true.
func (s *subrequest) keepBestReply(r *Reply) {
	if s.bestReply == nil || r.isAnswer() || r.mayHaveRun() && !s.bestReply.isAnswer() {
		s.bestReply = r
	}
}

// lastTried returns the server of the most recent send.
func (s *subrequest) lastTried() *fleet.Server { return s.tried[len(s.tried)-1] }

// denialReason returns why an extra send is not allowed, leaving capacity and budget
// aside, or NotDenied.
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
func (s *subrequest) isDenialTemporary() bool { return s.denied == NoRoom || s.denied == NoBudget }
