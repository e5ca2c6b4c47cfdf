package engine

import (
	"context"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/modules/fault"
)

const (
	// refusalPause is the least time after which a refused client should come
	// back; a few requests have ended by then.
	refusalPause = 100 * time.Millisecond
)

// single is the joiner of a forwarded request: the end of its one ask.
type single struct {
	reply  *Reply
	denied Denial
}

func (s *single) add(a *ask, r *Reply) { s.reply, s.denied = r, a.denied }

func (s *single) judge(time.Time) verdict {
	if s.reply == nil {
		return keepWaiting
	}
	return answerNow
}

func (s *single) canSpare(asks int) bool { return asks == 0 }

// forward sends a request to one server of one service and passes its answer on
// unchanged.
func (e *Engine) forward(ctx context.Context, req *Request) *Answer {
	service := e.splitter.Next(req.Route)
	var join single
	run := e.newRun(ctx, req, &join, []string{service})
	if run.wait(ctx) == turnAway {
		return run.turnedAway(1)
	}
	answer := &Answer{Steps: run.steps}
	r := join.reply
	if r == nil {
		r = run.unanswered()
	}
	switch {
	case r.isAnswer():
		answer.Reply = r
	case !r.mayHaveRun():
		answer.Fault = fault.Wrap(fault.Overloaded, fault.NotRun, r.Err, "no server of %s could take the request, no other send: %s", service, join.denied)
		answer.RetryAfter = refusalPause
	case r.Outcome == fleet.TimedOut:
		answer.Fault = fault.Wrap(fault.DeadlineExceeded, fault.Unknown, r.Err, "no reply of %s in time", service)
	default:
		answer.Fault = fault.Wrap(fault.UpstreamFailed, fault.Unknown, r.Err, "no whole reply of %s, no other send: %s", service, join.denied)
	}
	return answer
}

// unanswered is the reply of a forwarded request that ended without one.
func (r *run) unanswered() *Reply {
	a := &r.asks[0]
	switch {
	case a.open > 0:
		return &Reply{Outcome: fleet.TimedOut, Err: context.DeadlineExceeded}
	case a.last != nil:
		return a.last
	default:
		return &Reply{Outcome: fleet.Unreachable, Err: errNoServer}
	}
}
