package engine

import (
	"context"
	"errors"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
)

const (
	// lingerTime is how long a request whose reply nobody needs may still use its
	// connection. Closing it at once would cost a new connection; the protocol
	// wants servers idle half a second after a client has left.
	lingerTime = 400 * time.Millisecond
	// denialPause is how long a request that lacks room or budget for a further
	// send waits before it looks again: about one service time.
	denialPause = 15 * time.Millisecond
	// maxSends bounds the sends for one service, those included that reached no
	// server of it.
	maxSends = 4
)

var (
	// errAnswered ends requests whose reply nobody needs any more.
	errAnswered = errors.New("the client has its answer")
	// errNoServer is the reason of a request that no server could take.
	errNoServer = errors.New("no server has room")
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

//go:generate ../../../.bin/enumer -type=Denial -transform=snake -output=denial_enumer.go

// ask is one request to one service: a first send, and further ones while they
// are allowed and paid for.
type ask struct {
	engine *Engine
	req    *Request
	group  *fleet.Group
	// base outlives the answer, so that a late reply can free its connection.
	base   context.Context
	cancel context.CancelCauseFunc

	replies  chan *Reply
	tried    []*fleet.Server
	open     int
	sends    int
	attempts int
	// last is the most telling reply so far.
	last *Reply
	// denied is why the last further send did not happen.
	denied Denial
}

func (e *Engine) newAsk(ctx context.Context, req *Request, service string) *ask {
	base, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	return &ask{
		engine: e, req: req, group: e.fleet.Group(service), base: base, cancel: cancel,
		replies: make(chan *Reply, maxSends),
	}
}

// run returns the first whole answer, or the most telling reply if there is none.
// It never returns nil.
func (a *ask) run(ctx context.Context) *Reply {
	defer a.release(ctx)
	a.group.Deposit()
	if !a.sendFirst(ctx) {
		return &Reply{Outcome: fleet.Unreachable, Err: errNoServer}
	}
	second := time.NewTimer(a.secondSendAfter())
	defer second.Stop()
	for {
		select {
		case r := <-a.replies:
			a.open--
			if a.isFinal(r) {
				return r
			}
			a.note(r)
			if !a.sendAgain(r) && a.open == 0 && !a.waitToSend(ctx) {
				return a.last
			}
		case <-second.C:
			if a.sendSecond() || a.sends < maxSends {
				second.Reset(a.secondSendAfter())
			}
		case <-ctx.Done():
			return a.abandoned()
		}
	}
}

// release lets sends that nobody waits for end: at once if the client has gone,
// and otherwise after a time in which most of them free their connection.
func (a *ask) release(ctx context.Context) {
	if a.open == 0 {
		a.cancel(errAnswered)
		return
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errAnswered) {
		a.cancel(context.Cause(ctx))
		return
	}
	time.AfterFunc(lingerTime, func() { a.cancel(errAnswered) })
}

// isFinal reports whether a reply ends the ask: a good answer, or one that cannot
// be bettered by another server.
func (a *ask) isFinal(r *Reply) bool { return r.Outcome == fleet.Answered }

// note keeps the reply that tells the client most: an answer of a server before
// an unknown outcome, and that before a refusal, so that a refusal is true.
func (a *ask) note(r *Reply) {
	if a.last == nil || r.isAnswer() || r.mayHaveRun() && !a.last.isAnswer() {
		a.last = r
	}
}

// abandoned is the reply of an ask that ended before any answer.
func (a *ask) abandoned() *Reply {
	if a.open == 0 && a.last != nil {
		return a.last
	}
	return &Reply{Outcome: fleet.Silent, Err: context.DeadlineExceeded}
}

// sendFirst sends to the best server, waiting for room while an answer could
// still be in time.
func (a *ask) sendFirst(ctx context.Context) bool {
	patience := time.Until(a.req.Objective)
	s := a.group.Acquire(ctx, a.request(), a.req.rank(), patience)
	if s == nil {
		return false
	}
	a.send(s)
	return true
}

func (a *ask) request() fleet.Ask {
	return fleet.Ask{Tried: a.tried, Allows: a.req.Route.AllowsRegion}
}

// sendAgain sends to another server after a failure, if the request may run
// again and the budget pays.
func (a *ask) sendAgain(r *Reply) bool {
	if r.mayHaveRun() && !a.req.Route.Idempotent {
		a.denied = NotIdempotent
		return false
	}
	isFree := r.Outcome == fleet.Unreachable || r.Outcome == fleet.Misdirected
	if isFree {
		// The service has not seen the request.
		a.attempts--
	}
	return a.sendExtra(isFree)
}

// waitToSend waits until a further send that was denied for want of room or
// budget is possible. It reports false if it would not be in time.
func (a *ask) waitToSend(ctx context.Context) bool {
	for a.denied == NoRoom || a.denied == NoBudget {
		left := time.Until(a.req.Objective)
		if left <= 0 {
			return false
		}
		if !sleep(ctx, min(denialPause, left)) {
			return false
		}
		if a.sendExtra(false) {
			return true
		}
	}
	return false
}

// sleep reports false if ctx ended before d passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendSecond sends to another server because the first one is late.
func (a *ask) sendSecond() bool {
	return a.req.Route.Idempotent && a.open > 0 && a.sendExtra(false)
}

func (a *ask) sendExtra(isFree bool) bool {
	a.denied = a.trySend(isFree)
	return a.denied == NotDenied
}

// trySend sends to another server if there is one and the budget pays.
func (a *ask) trySend(isFree bool) Denial {
	if a.attempts >= a.req.Route.Attempts || a.sends >= maxSends {
		return NoAttempts
	}
	if !time.Now().Before(a.req.Deadline) {
		return NoTime
	}
	s := a.group.Pick(time.Now(), a.request())
	if s == nil {
		return NoRoom
	}
	if !isFree && !a.group.MaySendAgain() {
		a.group.Done(s, fleet.Withdrawn, 0, time.Now())
		return NoBudget
	}
	a.send(s)
	return NotDenied
}

func (a *ask) secondSendAfter() time.Duration {
	return a.group.SecondSendAfter(a.tried[len(a.tried)-1], time.Now())
}

// send starts one request; its reply arrives in replies.
func (a *ask) send(s *fleet.Server) {
	a.tried = append(a.tried, s)
	a.open++
	a.sends++
	a.attempts++
	go func() {
		start := time.Now()
		ctx, cancel := context.WithDeadline(a.base, a.req.Deadline)
		defer cancel()
		r := a.engine.sender.Send(ctx, s, a.req)
		now := time.Now()
		a.group.Done(s, a.outcome(ctx, r), now.Sub(start), now)
		a.replies <- r
	}()
}

// outcome returns what the end of a request tells of its server. One that was
// given up for the client's sake tells nothing.
func (a *ask) outcome(ctx context.Context, r *Reply) fleet.Outcome {
	if r.isAnswer() || ctx.Err() == nil || r.Outcome == fleet.Refused {
		return r.Outcome
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, context.Canceled) {
		return fleet.Withdrawn
	}
	return fleet.Silent
}
