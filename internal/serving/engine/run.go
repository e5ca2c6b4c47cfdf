package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	// lingerTime is how long a request whose reply nobody needs may still use its
	// connection. Closing it at once would cost a new connection; the protocol
	// wants servers idle half a second after a client has left.
	lingerTime = 400 * time.Millisecond
	// serverShare is the part of an objective that a server may take before its queue
	// counts as too long; the rest is for waiting here and for the way.
	serverShare = 0.75
	// patienceShare is the part of the time left that an expected wait may take,
	// since half of all waits are longer than expected.
	patienceShare = 0.85
	// lateFactor and lateSlack say when the replies that are still out are late,
	// against the time in which half of them came: a service time seldom doubles
	// unless its server pauses.
	lateFactor = 2
	lateSlack  = 8 * time.Millisecond
)

var (
	// errAnswered ends requests whose reply nobody needs any more.
	errAnswered = errors.New("the client has its answer")
	// errClientGone ends requests of a client that has left.
	errClientGone = errors.New("the client has left")
	// errNoServer is the reason of a request that no server could take.
	errNoServer = errors.New("no server has room")
)

// joiner decides what the replies of a run make.
type joiner interface {
	// add takes in the end of one ask.
	add(a *ask, r *Reply)
	// canSpare reports whether a success is possible without some of the asks.
	canSpare(asks int) bool
	// judge decides whether to wait on.
	judge(now time.Time) verdict
}

// event is what happens to one ask: a reply, or a server that it waited for.
type event struct {
	ask    *ask
	reply  *Reply
	server *fleet.Server
	// step is the index of the send that the reply is for, took how long it was out.
	step int
	took time.Duration
}

// run is one request on its way: one ask for each service, driven by one loop.
type run struct {
	engine *Engine
	req    *Request
	join   joiner
	asks   []ask
	events chan event
	// base outlives the answer, so that a late reply can free its connection.
	base   context.Context
	cancel context.CancelCauseFunc
	// start is when the first requests were sent.
	start time.Time
	// answered are the asks that have an answer.
	answered int
	steps    []Step
	// waiting are the asks that wait for room.
	waiting int
}

func (e *Engine) newRun(ctx context.Context, req *Request, join joiner, services []string) *run {
	// A reply that was lost is told by the deadline, so it is the context's.
	base, stop := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	base, cancel := context.WithCancelCause(base)
	r := &run{
		engine: e, req: req, join: join, asks: make([]ask, len(services)), base: base, steps: make([]Step, 0, len(services)+len(services)/4+1),
		events: make(chan event, (maxSends+1)*len(services)), start: time.Now(),
		cancel: func(cause error) {
			cancel(cause)
			stop()
		},
	}
	for i, service := range services {
		r.asks[i].group = e.fleet.Group(service)
	}
	return r
}

// wait sends to every service and takes in replies until the joiner has its
// verdict. It returns giveUp at the deadline and when the client has gone.
func (r *run) wait(ctx context.Context) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !r.reserve() {
		r.cancel(errNoServer)
		return turnAway
	}
	for i := range r.asks {
		r.begin(ctx, &r.asks[i])
	}
	timer := pause.NewAlarm(time.Until(r.req.Deadline))
	defer timer.Stop()
	for {
		now := time.Now()
		if v := r.join.judge(now); v != keepWaiting {
			return r.end(v, errAnswered)
		}
		if !now.Before(r.req.Deadline) {
			return r.end(giveUp, context.DeadlineExceeded)
		}
		timer.Reset(r.nextWake(now))
		select {
		case x := <-r.events:
			r.handle(x)
		case <-timer.C():
			r.lookAgain(time.Now())
		case <-ctx.Done():
			return r.end(giveUp, errClientGone)
		}
	}
}

// end lets the sends go that nobody waits for: at once if the client has gone or
// the time is over, and otherwise after a time in which most of them free their
// connection.
func (r *run) end(v verdict, cause error) verdict {
	if r.waiting > 0 {
		go r.giveBack()
	}
	open := 0
	for i := range r.asks {
		open += r.asks[i].open
	}
	if open == 0 || !errors.Is(cause, errAnswered) {
		r.cancel(cause)
	} else {
		time.AfterFunc(lingerTime, func() { r.cancel(errAnswered) })
	}
	return v
}

// giveBack releases the servers that asks still wait for.
func (r *run) giveBack() {
	for r.waiting > 0 {
		x := <-r.events
		if x.reply != nil {
			continue
		}
		r.waiting--
		if x.server != nil {
			x.ask.group.ReleaseUnused(x.server)
		}
	}
}

// nextWake returns the time until something is due without an event.
func (r *run) nextWake(now time.Time) time.Duration {
	next := r.req.Deadline
	if now.Before(r.req.Objective) && r.req.Objective.Before(next) {
		next = r.req.Objective
	}
	for i := range r.asks {
		a := &r.asks[i]
		if !a.isDone && !a.nextAt.IsZero() && a.nextAt.Before(next) {
			next = a.nextAt
		}
	}
	return next.Sub(now)
}

// reserve takes a server for every ask. If too many have none, and would find none
// in time, it gives all back and reports false: nothing has been sent then, and what
// the others would do for this request is left to those that can be answered.
func (r *run) reserve() bool {
	patience := r.patience()
	hopeless := 0
	for i := range r.asks {
		a := &r.asks[i]
		a.reserved, a.mayWait = a.group.TryAcquire(r.start, r.target(a), r.req.rank(), patience)
		if a.reserved == nil && !a.mayWait {
			hopeless++
		}
	}
	if r.join.canSpare(hopeless) {
		return true
	}
	for i := range r.asks {
		if a := &r.asks[i]; a.reserved != nil {
			a.group.ReleaseUnused(a.reserved)
		}
	}
	return false
}

// patience is in what time an answer must be expected for a wait to make sense: the
// objective, or the deadline of a request that has missed its objective already.
func (r *run) patience() time.Duration {
	end := r.req.Objective
	if !r.start.Before(end) {
		end = r.req.Deadline
	}
	return time.Duration(patienceShare * float64(end.Sub(r.start)))
}

// turnedAway is the refusal of a request for which reserve found too few servers:
// the services without room in time, and when room is expected there.
func (r *run) turnedAway(need int) *Answer {
	after := refusalPause
	var scarce []string
	for i := range r.asks {
		if a := &r.asks[i]; a.reserved == nil && !a.mayWait {
			after = max(after, a.group.RetryAfter(r.start, r.target(a)))
			scarce = append(scarce, a.group.Service())
		}
	}
	// Clients that are told the same time come back over as long again.
	after += time.Duration(rand.Float64() * float64(after))
	return refused(fault.Overloaded, after, "no room in time at %s; %d of %d services are needed", strings.Join(scarce, " "), need, len(r.asks))
}

// begin sends to the server that was reserved, or waits for room while an answer
// could still be in time.
func (r *run) begin(ctx context.Context, a *ask) {
	a.group.Deposit()
	switch {
	case a.reserved != nil:
		r.send(a, a.reserved)
	case a.mayWait:
		target, patience := r.target(a), r.patience()
		r.waiting++
		go func() {
			r.events <- event{ask: a, server: a.group.Acquire(ctx, target, r.req.rank(), patience)}
		}()
	default:
		r.finish(a, &Reply{Outcome: fleet.Unreachable, Err: errNoServer})
	}
}

func (r *run) target(a *ask) fleet.Filter {
	return fleet.Filter{Tried: a.tried, AllowsRegion: r.req.Route.AllowsRegion}
}

func (r *run) handle(x event) {
	a := x.ask
	if x.reply != nil {
		step := &r.steps[x.step]
		step.Outcome, step.Took, step.Err = x.reply.Outcome, x.took, x.reply.Err
		r.handleReply(a, x.reply)
		return
	}
	r.waiting--
	if x.server == nil {
		r.finish(a, &Reply{Outcome: fleet.Unreachable, Err: errNoServer})
		return
	}
	r.send(a, x.server)
}

func (r *run) handleReply(a *ask, reply *Reply) {
	a.open--
	if a.isDone {
		return
	}
	if reply.Outcome == fleet.Answered {
		r.finish(a, reply)
		return
	}
	a.note(reply)
	isFree := reply.Outcome == fleet.Unreachable || reply.Outcome == fleet.Misdirected
	if isFree {
		// The service has not seen the request.
		a.attempts--
	}
	if r.sendAgain(a, isFree) || a.open > 0 {
		return
	}
	r.retryLater(a, time.Now())
}

// retryLater looks again a little later if a send that was denied may be possible
// then, and otherwise ends the ask.
func (r *run) retryLater(a *ask, now time.Time) {
	if a.mayRecover() && now.Before(r.start.Add(r.patience())) {
		a.nextAt = now.Add(denialPause)
		return
	}
	r.finish(a, a.last)
}

// lookAgain sends again for the asks that are due.
func (r *run) lookAgain(now time.Time) {
	for i := range r.asks {
		a := &r.asks[i]
		if a.isDone || a.nextAt.IsZero() || now.Before(a.nextAt) {
			continue
		}
		a.nextAt = time.Time{}
		switch {
		case r.sendAgain(a, false):
		case a.open == 0:
			r.retryLater(a, now)
		case a.mayRecover():
			a.nextAt = now.Add(denialPause)
		}
	}
}

// sendAgain sends to another server if the request may run again, there is one,
// and the budget pays.
func (r *run) sendAgain(a *ask, isFree bool) bool {
	a.denied = r.trySend(a, isFree)
	c := &r.engine.counters
	if a.denied == NotDenied {
		c.Seconds.Add(1)
		return true
	}
	c.Denied[a.denied].Add(1)
	return false
}

func (r *run) trySend(a *ask, isFree bool) Denial {
	now := time.Now()
	if d := a.deny(r.req, now); d != NotDenied {
		return d
	}
	s := a.group.Pick(now, r.target(a))
	if s == nil {
		return NoRoom
	}
	if !isFree && !a.group.WithdrawExtraSend() {
		a.group.ReleaseUnused(s)
		return NoBudget
	}
	r.send(a, s)
	return NotDenied
}

// finish ends an ask. When half of the asks have their answers, the time that
// took tells when the others are late.
func (r *run) finish(a *ask, reply *Reply) {
	a.isDone = true
	r.join.add(a, reply)
	if reply.Outcome != fleet.Answered {
		return
	}
	r.answered++
	if r.answered != (len(r.asks)+1)/2 {
		return
	}
	half := time.Since(r.start)
	late := r.start.Add(max(lateFactor*half, half+lateSlack))
	for i := range r.asks {
		x := &r.asks[i]
		if x.isDone || x.open == 0 {
			continue
		}
		if at := late.Add(x.current().ExtraRoundTrip()); at.Before(x.nextAt) {
			x.nextAt = at
		}
	}
}
