package engine

import (
	"context"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/modules/fault"
)

const (
	// minRetryAfter is the minimum time after which a refused client is advised to retry.
	// By then, some of the requests in progress have ended and freed capacity.
	minRetryAfter = 100 * time.Millisecond
)

// singleCollector collects the reply to the only subrequest of a forwarded request.
type singleCollector struct {
	reply  *Reply
	denied Denial
}

func (c *singleCollector) add(sub *subrequest, r *Reply) { c.reply, c.denied = r, sub.denied }

func (c *singleCollector) decide(time.Time) decision {
	if c.reply == nil {
		return keepWaiting
	}
	return answerNow
}

func (c *singleCollector) canSucceedWithout(count int) bool { return count == 0 }

// forward sends a request to one service of the route and returns the server's reply
// unchanged.
func (e *Engine) forward(ctx context.Context, req *Request) *Answer {
	service := e.splitter.Next(req.Route)
	var collector singleCollector
	run := e.newRun(ctx, req, &collector, []string{service})
	if run.execute(ctx) == refuseUnsent {
		return run.overloadAnswer(1)
	}
	answer := &Answer{Sends: run.sendRecords}
	r := collector.reply
	if r == nil {
		r = run.unfinishedReply()
	}
	switch {
	case r.IsAnswer() && !r.IsWithheld:
		answer.Reply = r
	case !r.mayHaveRun():
		answer.Fault = fault.Wrap(fault.Overloaded, fault.NotRun, r.Err, "no server of %s accepted the request, no extra send: %s", service, collector.denied)
		answer.RetryAfter = run.refusedRetryAfter()
	case r.Outcome == fleet.TimedOut:
		answer.Fault = fault.Wrap(fault.DeadlineExceeded, fault.Unknown, r.Err, "no reply from %s in time", service)
	default:
		answer.Fault = fault.Wrap(fault.UpstreamFailed, fault.Unknown, r.Err, "no complete reply from %s, no extra send: %s", service, collector.denied)
	}
	return answer
}

// unfinishedReply returns the reply to report for a forwarded request whose run ended,
// for example at the deadline, before its subrequest did.
func (r *run) unfinishedReply() *Reply {
	sub := &r.subrequests[0]
	switch {
	case sub.pending > 0:
		return &Reply{Outcome: fleet.TimedOut, Err: context.DeadlineExceeded}
	case sub.bestReply != nil:
		return sub.bestReply
	default:
		return &Reply{Outcome: fleet.Unreachable, Err: errNoServer}
	}
}
