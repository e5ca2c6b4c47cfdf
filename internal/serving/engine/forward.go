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
	// downPause is the same when no server is up: servers that are down are tried
	// again after that time at the least.
	downPause = 300 * time.Millisecond
)

// forward sends a request to one server of one service and passes its answer on
// unchanged.
func (e *Engine) forward(ctx context.Context, req *Request) *Answer {
	service := e.splitter.Next(req.Route)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	a := e.newAsk(ctx, req, service)
	r := a.run(ctx)
	answer := &Answer{Sends: a.sends}
	switch {
	case r.isAnswer():
		answer.Reply = r
	case !r.mayHaveRun():
		answer.Fault = fault.Wrap(fault.Overloaded, fault.NotRun, r.Err, "no server of %s could take the request", service)
		answer.RetryAfter = refusalPause
	case r.Outcome == fleet.Silent:
		answer.Fault = fault.Wrap(fault.DeadlineExceeded, fault.Unknown, r.Err, "no reply of %s in time", service)
	default:
		answer.Fault = fault.Wrap(fault.UpstreamFailed, fault.Unknown, r.Err, "no whole reply of %s", service)
	}
	return answer
}
