package query

import (
	"context"
	"errors"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// attempt runs one call, on the server itself or through another host.
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

// attemptDirect runs one call on a server and records what it showed. The
// caller has taken a unit of the server's share.
func (e *Engine) attemptDirect(ctx context.Context, tracker *balance.Tracker, call upstream.Call) (*upstream.Answer, error) {
	defer tracker.Release()
	start := time.Now()
	answer, err := e.opts.Server.Do(ctx, tracker.Upstream(), call)
	if err == nil {
		tracker.Succeeded(time.Since(start), answer.State())
		return answer, nil
	}
	record(tracker, err, time.Since(start))
	return nil, err
}

// record tells the tracker what a failed call showed.
func record(tracker *balance.Tracker, err error, elapsed time.Duration) {
	var refusal *upstream.Refusal
	if errors.As(err, &refusal) {
		tracker.Refused(time.Now(), refusal)
		return
	}
	f := fault.From(err)
	switch {
	case f.Kind() == fault.ConnectionFailed && f.Outcome() == fault.NotRun:
		tracker.Unreachable(time.Now())
	case f.Kind() == fault.ConnectionFailed:
		tracker.Broke(time.Now())
	default:
		tracker.Abandoned(elapsed)
	}
}

// Serve runs a call that another host passed on. It refuses if this host has no
// room at the server.
func (e *Engine) Serve(ctx context.Context, server string, call upstream.Call) (*upstream.Answer, error) {
	tracker, ok := e.opts.Fleet.AcquireFor(server)
	if !ok {
		return nil, fault.New(fault.Overloaded, fault.NotRun, "this host has no room at server %q", server)
	}
	return e.attemptDirect(ctx, tracker, call)
}
