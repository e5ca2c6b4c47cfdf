package engine

import (
	"context"
	"errors"
	"runtime"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
)

// send starts one request; its reply arrives as an event.
func (r *run) send(a *ask, s *fleet.Server) {
	a.tried = append(a.tried, s)
	a.open++
	a.sends++
	a.attempts++
	start := time.Now()
	a.nextAt = start.Add(a.group.HedgeDelay(s, start))
	step := len(r.steps)
	r.steps = append(r.steps, Step{Server: s, At: start.Sub(r.start)})
	go func() {
		growStack()
		reply := r.engine.sender.Send(r.base, s, r.req)
		now := time.Now()
		outcome := outcomeOf(r.base, reply)
		a.group.Done(s, outcome, now.Sub(start), now)
		if outcome == fleet.Answered || outcome == fleet.TimedOut {
			most := time.Duration(serverShare * float64(r.req.Route.Objective))
			a.group.ObserveObjective(s, outcome == fleet.Answered && now.Sub(start) <= most, now)
		}
		r.engine.counters.Sends[outcome].Add(1)
		r.events <- event{ask: a, reply: reply, step: step, took: now.Sub(start)}
	}()
}

// stackSize is what a send needs of its stack in bytes, rounded up.
const stackSize = 6 << 10

// growStack makes the stack of a new goroutine large enough in one step. Growing it in
// three, with more frames to move each time, takes 8 % of a send's processor time.
//
//go:noinline
func growStack() {
	var b [stackSize]byte
	runtime.KeepAlive(&b)
}

// outcomeOf returns what the end of a request tells of its server. One that was
// given up for the client's sake tells nothing.
func outcomeOf(base context.Context, r *Reply) fleet.Outcome {
	if r.isAnswer() || base.Err() == nil || r.Outcome == fleet.Refused {
		return r.Outcome
	}
	if errors.Is(context.Cause(base), errClientGone) {
		return fleet.Cancelled
	}
	return fleet.TimedOut
}
