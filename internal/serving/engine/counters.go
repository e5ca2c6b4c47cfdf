package engine

import (
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
)

// Counters count what the engine did since it started.
type Counters struct {
	// Whole, Partial and Late are answers: with all parts in time, without some,
	// and after the objective.
	Whole, Partial, Late atomic.Int64
	// Refused are requests proved not to have run, Failed those with an unknown
	// outcome, Left those whose client went away.
	Refused, Failed, Left atomic.Int64
	// Sends are requests to servers by outcome.
	Sends [fleet.OutcomeCount]atomic.Int64
	// Seconds are sends beyond the first for a service, Denied those that did not
	// happen, by reason.
	Seconds atomic.Int64
	Denied  [denialCount]atomic.Int64
	// InFlight are the requests under way.
	InFlight atomic.Int64
}

// Step is one request to a server on behalf of a client's request.
type Step struct {
	Server  *fleet.Server
	Outcome fleet.Outcome
	// At is when it was sent, counted from the first send; Took is how long it was
	// out, zero if it still is.
	At, Took time.Duration
	// Err is the reason of an outcome without an answer.
	Err error
}

// IsOut reports whether the reply had not come when the client was answered.
func (s Step) IsOut() bool { return s.Took == 0 }
