package engine

import (
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
)

const (
	// denialPause is how long a request that lacks room or budget for a further
	// send waits before it looks again: about one service time.
	denialPause = 15 * time.Millisecond
	// maxSends bounds the sends for one service, those included that reached no
	// server of it.
	maxSends = 4
)

// Denial is why a further send did not happen.
type Denial int

// The reasons.
const (
	NotDenied Denial = iota
	// NotIdempotent means that the request may have run.
	NotIdempotent
	NoAttempts
	NoTime
	NoRoom
	NoBudget
)

// denialCount is the number of reasons, NotDenied included.
const denialCount = int(NoBudget) + 1

//go:generate ../../../.bin/enumer -type=Denial -transform=snake -output=denial_enumer.go

// ask is one request to one service: a first send, and further ones while they
// are allowed and paid for. The loop of its run is its only user.
type ask struct {
	group *fleet.Group
	// reserved is the server of the first send; without one, mayWait tells whether
	// room may be found in time.
	reserved *fleet.Server
	mayWait  bool
	tried    []*fleet.Server
	open     int
	sends    int
	attempts int
	// nextAt is when to look at a further send; zero means never.
	nextAt time.Time
	// last is the most telling reply so far.
	last *Reply
	// denied is why the last further send did not happen.
	denied Denial
	isDone bool
}

// note keeps the reply that tells the client most: an answer of a server before
// an unknown outcome, and that before a refusal, so that a refusal is true.
func (a *ask) note(r *Reply) {
	if a.last == nil || r.isAnswer() || r.mayHaveRun() && !a.last.isAnswer() {
		a.last = r
	}
}

// current returns the server that was sent to last.
func (a *ask) current() *fleet.Server { return a.tried[len(a.tried)-1] }

// deny returns why the ask may not send again to another server, whatever the
// room and the budget.
func (a *ask) deny(req *Request, now time.Time) Denial {
	switch {
	case a.last != nil && a.last.mayHaveRun() && !req.Route.Idempotent:
		return NotIdempotent
	case a.open > 0 && !req.Route.Idempotent:
		return NotIdempotent
	case a.attempts >= req.Route.MaxAttempts || a.sends >= maxSends:
		return NoAttempts
	case !now.Before(req.Deadline):
		return NoTime
	default:
		return NotDenied
	}
}

// mayRecover reports whether a denied send may be possible a little later.
func (a *ask) mayRecover() bool { return a.denied == NoRoom || a.denied == NoBudget }
