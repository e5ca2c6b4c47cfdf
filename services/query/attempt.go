package query

import (
	"context"
	"errors"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// attempt runs one call, directly on the chosen server or through another host.
func (e *Engine) attempt(ctx context.Context, choice balance.Choice, call upstream.Call) (*upstream.Answer, error) {
	e.counters.Attempts.Add(1)
	if choice.Via() == "" {
		return e.attemptDirect(ctx, choice.Tracker(), call)
	}
	e.counters.Hops.Add(1)
	if e.opts.Forwarder == nil {
		return nil, fault.New(fault.PeerFailed, fault.NotRun, "there is no way to host %q", choice.Via())
	}
	return e.opts.Forwarder.Forward(ctx, choice.Via(), choice.Tracker().Upstream().ID(), call)
}

// attemptDirect runs one call on a server and reports its result to the tracker.
// The caller must have acquired a unit of this host's share of the server, which
// is the number of requests that this host may have in flight there.
// attemptDirect releases the unit.
func (e *Engine) attemptDirect(ctx context.Context, tracker *balance.Tracker, call upstream.Call) (*upstream.Answer, error) {
	defer tracker.Release()
	start := time.Now()
	answer, err := e.opts.Server.Do(ctx, tracker.Upstream(), call)
	if err == nil {
		tracker.RecordSuccess(time.Since(start), answer.State())
		return answer, nil
	}
	recordFailure(tracker, err, time.Since(start))
	return nil, err
}

// recordFailure reports a failed call to the tracker of its server, with the way in
// which the call failed.
func recordFailure(tracker *balance.Tracker, err error, elapsed time.Duration) {
	var refusal *upstream.Refusal
	if errors.As(err, &refusal) {
		tracker.RecordRefusal(time.Now(), refusal)
		return
	}
	f := fault.From(err)
	switch {
	case f.Kind() == fault.ConnectionFailed && f.Outcome() == fault.NotRun:
		tracker.RecordUnreachable(time.Now())
	case f.Kind() == fault.ConnectionFailed:
		tracker.RecordBrokenConnection(time.Now())
	default:
		tracker.RecordAbandoned(elapsed)
	}
}

// ServeForwarded runs a call that another host forwarded. It refuses the call with
// an Overloaded fault if the server is draining, is in a backoff or has no capacity
// for another request of this host.
func (e *Engine) ServeForwarded(ctx context.Context, server string, call upstream.Call) (*upstream.Answer, error) {
	tracker, ok := e.opts.Fleet.AcquireForwarded(server)
	if !ok {
		return nil, fault.New(fault.Overloaded, fault.NotRun, "this host has no room at server %q", server)
	}
	return e.attemptDirect(ctx, tracker, call)
}
