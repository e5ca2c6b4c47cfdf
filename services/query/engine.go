package query

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/table"
)

const (
	// maxRestarts bounds how often a query restarts on another snapshot or pool.
	maxRestarts = 3
	// returnShare is the part of a request's time that is kept for the way back.
	returnShare = 20
	// maxReturn bounds the time kept for the way back.
	maxReturn = 5 * time.Millisecond
)

// Counters count what the engine did since it started.
type Counters struct {
	Queries     atomic.Int64
	Answered    atomic.Int64
	Partial     atomic.Int64
	Refused     atomic.Int64
	Failed      atomic.Int64
	Restarts    atomic.Int64
	Attempts    atomic.Int64
	Hedges      atomic.Int64
	Probes      atomic.Int64
	Copies      atomic.Int64
	Retries     atomic.Int64
	Hops        atomic.Int64
	Quarantined atomic.Int64
}

// CounterValues are the values of the counters that the state dump shows.
type CounterValues struct {
	Queries, Answered, Partial, Refused, Failed, Attempts, Hedges, Probes, Retries, Hops int64
}

// Snapshot returns the present values.
func (c *Counters) Snapshot() CounterValues {
	return CounterValues{
		c.Queries.Load(), c.Answered.Load(), c.Partial.Load(), c.Refused.Load(), c.Failed.Load(),
		c.Attempts.Load(), c.Hedges.Load(), c.Probes.Load(), c.Retries.Load(), c.Hops.Load(),
	}
}

// Engine runs queries. It is safe for concurrent use.
type Engine struct {
	opts       Options
	prefix     string
	sequence   atomic.Uint64
	inFlight   atomic.Int64
	counters   Counters
	quarantine Quarantine
}

// NewEngine returns an Engine. A missing Claimer refuses keys; a missing
// Director sends each route to its own pool.
func NewEngine(opts Options) *Engine {
	if opts.Claimer == nil {
		opts.Claimer = noClaimer{}
	}
	if opts.Director == nil {
		opts.Director = fixedDirector{}
	}
	if opts.MaxInFlight == 0 {
		opts.MaxInFlight = 1 << 20
	}
	return &Engine{opts: opts, prefix: opts.Host + "/" + opts.Incarnation + "/"}
}

// Counters returns the counters of the engine.
func (e *Engine) Counters() *Counters { return &e.counters }

// Quarantine returns the requests suspected of crashing servers.
func (e *Engine) Quarantine() *Quarantine { return &e.quarantine }

// InFlight returns how many queries run.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

func (e *Engine) nextAttempt() string {
	return e.prefix + strconv.FormatUint(e.sequence.Add(1), 36)
}

// Run answers one query or returns a fault.
func (e *Engine) Run(ctx context.Context, req Request) (*Result, error) {
	e.counters.Queries.Add(1)
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	result, err := e.run(ctx, req)
	e.count(result, err)
	return result, err
}

func (e *Engine) count(result *Result, err error) {
	switch {
	case err != nil && fault.From(err).Outcome() == fault.NotRun:
		e.counters.Refused.Add(1)
	case err != nil:
		e.counters.Failed.Add(1)
	case len(result.missing) > 0:
		e.counters.Partial.Add(1)
	default:
		e.counters.Answered.Add(1)
	}
}

func (e *Engine) run(ctx context.Context, req Request) (*Result, error) {
	view := e.opts.View.Load()
	if view.Configuration().Generation() == 0 {
		return nil, fault.New(fault.NotReady, fault.NotRun, "this host has no configuration yet")
	}
	route := view.Configuration().Route(req.route)
	if route == nil {
		return nil, fault.New(fault.UnknownRoute, fault.NotRun, "route %q is not in generation %d", req.route, view.Configuration().Generation())
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	if route.Idempotent() {
		return e.runAdmitted(ctx, req, route)
	}
	return e.runKeyed(ctx, req, route)
}

// runAdmitted runs a query that nothing stands against.
func (e *Engine) runAdmitted(ctx context.Context, req Request, route *table.Route) (*Result, error) {
	if err := e.admit(req, route); err != nil {
		return nil, err
	}
	if e.quarantine.IsHeld(req.fingerprint()) {
		e.counters.Quarantined.Add(1)
		return nil, fault.New(fault.RequestQuarantined, fault.NotRun, "requests like this one crashed servers a short time ago")
	}
	return e.runOnPools(ctx, req, route)
}

// runKeyed claims the key before anything else: a refusal that says "not run"
// would be untrue if an earlier copy of the request ran through another host.
func (e *Engine) runKeyed(ctx context.Context, req Request, route *table.Route) (*Result, error) {
	if req.key == "" {
		return nil, fault.New(fault.KeyRequired, fault.NotRun, "route %q needs an Idempotency-Key", req.route)
	}
	claim, err := e.opts.Claimer.Claim(ctx, req.key, req.fingerprint())
	if err != nil {
		return nil, err
	}
	if earlier := claim.Earlier(); earlier != nil {
		return earlier, nil
	}
	result, err := e.runAdmitted(ctx, req, route)
	switch {
	case err == nil:
		claim.Done(result)
	case fault.From(err).Outcome() == fault.NotRun:
		claim.NotRun(ctx)
	default:
		claim.Unknown()
	}
	return result, err
}

// runOnPools runs the query on the pool that the director picks, and restarts
// it where that proves necessary and possible.
func (e *Engine) runOnPools(ctx context.Context, req Request, route *table.Route) (*Result, error) {
	tables := e.opts.View.Load().Configuration().Tables
	pool, report := e.opts.Director.Direct(tables, route)
	var excluded []uint64
	mayHaveRun := false
	start := time.Now()
	for restart := 0; ; restart++ {
		f, err := e.prepare(req, route, pool, excluded)
		if err != nil {
			return nil, outcomeOf(err, mayHaveRun)
		}
		result, err := f.run(ctx)
		mayHaveRun = mayHaveRun || f.unproven.Load() > 0
		if gone, ok := asSnapshotGone(err); ok && restart < maxRestarts && time.Now().Before(req.deadline) {
			e.counters.Restarts.Add(1)
			excluded = append(excluded, gone.version)
			continue
		}
		end := f.report(ctx, result, err, start)
		report(end)
		if !end.Failed || pool == route.Pool() || restart >= maxRestarts || !mayRunAgain(route, err) || ctx.Err() != nil {
			if err == nil {
				e.copyToWarm(ctx, req, route, tables)
			}
			return result, outcomeOf(err, mayHaveRun)
		}
		// The new version of a move failed; the old one still serves.
		e.counters.Restarts.Add(1)
		pool, report, excluded = route.Pool(), func(Report) {}, nil
	}
}

// outcomeOf returns err as the fault that the Caller sees. Its outcome is NotRun
// only if no run of the query, this one or an earlier one, may have reached a
// server.
func outcomeOf(err error, mayHaveRun bool) error {
	if err == nil {
		return nil
	}
	f := fault.From(err)
	if mayHaveRun {
		return f.WithOutcome(fault.Unknown)
	}
	return f
}

// copyToWarm runs a copy of an answered query on the new pool of a move that has
// not begun. Nobody waits for its answer.
func (e *Engine) copyToWarm(ctx context.Context, req Request, route *table.Route, tables *table.Tables) {
	pool, report := e.opts.Director.Copy(tables, route)
	if pool == "" {
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
	e.counters.Copies.Add(1)
	go func() {
		defer cancel()
		start := time.Now()
		f, err := e.prepare(req, route, pool, nil)
		if err != nil {
			return
		}
		f.warming = true
		result, err := f.run(ctx)
		report(f.report(ctx, result, err, start))
	}()
}

func mayRunAgain(route *table.Route, err error) bool {
	if err == nil {
		return route.Idempotent()
	}
	f := fault.From(err)
	if f.Kind() == fault.RequestQuarantined {
		return false
	}
	return route.Idempotent() || f.Outcome() == fault.NotRun
}

// prepare pins a snapshot of a pool for one run of a query.
func (e *Engine) prepare(req Request, route *table.Route, pool string, excluded []uint64) (*fanOut, error) {
	view := e.opts.View.Load().Pool(pool)
	if view == nil {
		return nil, fault.New(fault.UnknownRoute, fault.NotRun, "there is no pool %q", pool)
	}
	snapshot := view.Snapshot(excluded...)
	if snapshot == nil {
		return nil, fault.New(fault.NoSnapshot, fault.NotRun, "no server of pool %q holds a snapshot", pool)
	}
	if !snapshot.IsComplete() && !route.Partial() {
		return nil, fault.New(fault.NoSnapshot, fault.NotRun, "only %d of %d shards of pool %q have a server", snapshot.Held(), snapshot.Shards(), pool)
	}
	return newFanOut(e, req, route, view, snapshot), nil
}

// admit refuses a query that could not be answered in time, before any server
// has seen it. Routes of lower priority are refused earlier.
func (e *Engine) admit(req Request, route *table.Route) error {
	left := time.Until(req.deadline)
	if left <= 0 {
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "the deadline had passed on arrival")
	}
	share := admissionShare(route.Priority())
	if float64(e.inFlight.Load()) > share*float64(e.opts.MaxInFlight) {
		return fault.New(fault.Overloaded, fault.NotRun, "%d queries are in flight on this host", e.inFlight.Load())
	}
	return e.admitToQueue(route, left)
}

// admitToQueue refuses a query whose wait for servers would take too much of its
// time. A route that allows partial answers is judged by the mean of its shards,
// any other by the longest wait.
func (e *Engine) admitToQueue(route *table.Route, left time.Duration) error {
	pool := e.opts.View.Load().Pool(route.Pool())
	if pool == nil || pool.Snapshot() == nil {
		return nil
	}
	wait, longest := pool.Snapshot().ExpectedWaits()
	if !route.Partial() {
		wait = longest
	}
	if wait > 0 && float64(wait+pool.Load().Typical()) > queueShare(route.Priority())*float64(left) {
		return fault.New(fault.Overloaded, fault.NotRun, "the wait for a server is %s, the request has %s", wait.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return nil
}

// admissionShare is the part of a limit that a priority may use.
func admissionShare(p table.Priority) float64 {
	switch p {
	case table.High:
		return 1
	case table.Low:
		return 0.4
	default:
		return 0.7
	}
}

// queueShare is the part of a request's time that the queue may take. Short
// queues keep the servers' work for requests that will be answered in time.
func queueShare(p table.Priority) float64 {
	switch p {
	case table.High:
		return 0.6
	case table.Low:
		return 0.1
	default:
		return 0.25
	}
}

// callDeadline is when a server must have started at the latest for its answer
// to arrive in time.
func callDeadline(req Request) time.Time {
	left := time.Until(req.deadline)
	return req.deadline.Add(-min(left/returnShare, maxReturn))
}
