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
	// maxRestarts is the largest number of times that a query restarts on another
	// snapshot or pool.
	maxRestarts = 3
	// replyReserveDivisor sets the fraction, 1/20, of the time until a query's deadline
	// that is reserved for returning the reply.
	replyReserveDivisor = 20
	// maxReplyReserve is the longest time that is reserved for returning the
	// reply.
	maxReplyReserve = 5 * time.Millisecond
)

// Counters counts the engine's operations since it started.
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

// CounterValues holds the values of those counters that the state dump contains.
// The dump uses the names of the fields.
type CounterValues struct {
	Queries, Answered, Partial, Refused, Failed, Attempts, Hedges, Probes, Retries, Hops int64
}

// Values returns the current values of those counters that the state dump
// contains.
func (c *Counters) Values() CounterValues {
	return CounterValues{
		c.Queries.Load(), c.Answered.Load(), c.Partial.Load(), c.Refused.Load(), c.Failed.Load(),
		c.Attempts.Load(), c.Hedges.Load(), c.Probes.Load(), c.Retries.Load(), c.Hops.Load(),
	}
}

// Engine runs queries. It is safe for concurrent use.
type Engine struct {
	opts            Options
	attemptIDPrefix string
	attemptSequence atomic.Uint64
	inFlight        atomic.Int64
	counters        Counters
	quarantine      Quarantine
}

// NewEngine returns an Engine. Without a Claimer it refuses every request that
// needs a key; without a PoolSelector it sends each query to the pool of its route.
func NewEngine(opts Options) *Engine {
	if opts.Claimer == nil {
		opts.Claimer = noClaimer{}
	}
	if opts.PoolSelector == nil {
		opts.PoolSelector = routePoolSelector{}
	}
	if opts.MaxInFlight == 0 {
		opts.MaxInFlight = 1 << 20
	}
	return &Engine{opts: opts, attemptIDPrefix: opts.Host + "/" + opts.Incarnation + "/"}
}

// Counters returns the counters of the engine.
func (e *Engine) Counters() *Counters { return &e.counters }

// Quarantine returns the quarantine of requests suspected of crashing servers.
func (e *Engine) Quarantine() *Quarantine { return &e.quarantine }

// InFlight returns the number of running queries.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

func (e *Engine) nextAttemptID() string {
	return e.attemptIDPrefix + strconv.FormatUint(e.attemptSequence.Add(1), 36)
}

// Run runs one query and returns its result or a fault.Fault.
func (e *Engine) Run(ctx context.Context, req Request) (*Result, error) {
	e.counters.Queries.Add(1)
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	result, err := e.run(ctx, req)
	e.countResult(result, err)
	return result, err
}

func (e *Engine) countResult(result *Result, err error) {
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
	if route.IsIdempotent() {
		return e.admitAndRun(ctx, req, route)
	}
	return e.runKeyed(ctx, req, route)
}

// admitAndRun runs a query if admission control accepts it and its fingerprint is
// not quarantined.
func (e *Engine) admitAndRun(ctx context.Context, req Request, route *table.Route) (*Result, error) {
	if err := e.checkAdmission(req, route); err != nil {
		return nil, err
	}
	if e.quarantine.IsBlocked(req.fingerprint()) {
		e.counters.Quarantined.Add(1)
		return nil, fault.New(fault.RequestQuarantined, fault.NotRun, "requests like this one crashed servers a short time ago")
	}
	return e.runOnPools(ctx, req, route)
}

// runKeyed runs a query on a route that needs an idempotency key. It claims the
// key before any other check, because a refusal with the outcome NotRun would be
// wrong if an earlier copy of the request ran through another host.
func (e *Engine) runKeyed(ctx context.Context, req Request, route *table.Route) (*Result, error) {
	if req.key == "" {
		return nil, fault.New(fault.KeyRequired, fault.NotRun, "route %q needs an Idempotency-Key", req.route)
	}
	claim, err := e.opts.Claimer.Claim(ctx, req.key, req.fingerprint())
	if err != nil {
		return nil, err
	}
	if earlier := claim.PreviousResult(); earlier != nil {
		return earlier, nil
	}
	result, err := e.admitAndRun(ctx, req, route)
	switch {
	case err == nil:
		claim.Complete(result)
	case fault.From(err).Outcome() == fault.NotRun:
		claim.Release(ctx)
	default:
		claim.MarkUnknown()
	}
	return result, err
}

// runOnPools runs the query on the pool that the PoolSelector selects. If the servers
// of a shard no longer hold the pinned snapshot, it restarts the query on another
// snapshot. If the selected pool is the new pool of a move (a gradual shift of traffic
// from one pool to another) and fails, it restarts a retryable query on the route's own
// pool, which is the old pool of the move.
func (e *Engine) runOnPools(ctx context.Context, req Request, route *table.Route) (*Result, error) {
	tables := e.opts.View.Load().Configuration().Tables
	pool, report := e.opts.PoolSelector.SelectPool(tables, route)
	var excluded []uint64
	mayHaveRun := false
	start := time.Now()
	for restart := 0; ; restart++ {
		f, err := e.prepareFanOut(req, route, pool, excluded)
		if err != nil {
			return nil, withQueryOutcome(err, mayHaveRun)
		}
		result, err := f.run(ctx)
		mayHaveRun = mayHaveRun || f.possibleRuns.Load() > 0
		if gone, ok := asSnapshotGone(err); ok && restart < maxRestarts && time.Now().Before(req.deadline) {
			e.counters.Restarts.Add(1)
			excluded = append(excluded, gone.version)
			continue
		}
		summary := f.newReport(ctx, result, err, start)
		report(summary)
		if !summary.Failed || pool == route.Pool() || restart >= maxRestarts || !isRetryable(route, err) || ctx.Err() != nil {
			if err == nil {
				e.startWarmupCopy(ctx, req, route, tables)
			}
			return result, withQueryOutcome(err, mayHaveRun)
		}
		// The new pool of the move failed; the old pool still serves.
		e.counters.Restarts.Add(1)
		pool, report, excluded = route.Pool(), func(Report) {}, nil
	}
}

// withQueryOutcome returns err as the fault that the Caller receives. Its outcome
// is NotRun only if no run of the query, the current or an earlier one, may have
// reached a server.
func withQueryOutcome(err error, mayHaveRun bool) error {
	if err == nil {
		return nil
	}
	f := fault.From(err)
	if mayHaveRun {
		return f.WithOutcome(fault.Unknown)
	}
	return f
}

// startWarmupCopy runs a copy of an answered query in the background to warm up the
// servers of the new pool of a move that does not yet shift traffic. The answer is
// discarded; only the report on how the copy ended is used.
func (e *Engine) startWarmupCopy(ctx context.Context, req Request, route *table.Route, tables *table.Tables) {
	pool, report := e.opts.PoolSelector.SelectWarmupPool(tables, route)
	if pool == "" {
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
	e.counters.Copies.Add(1)
	go func() {
		defer cancel()
		start := time.Now()
		f, err := e.prepareFanOut(req, route, pool, nil)
		if err != nil {
			return
		}
		f.isWarmup = true
		result, err := f.run(ctx)
		report(f.newReport(ctx, result, err, start))
	}()
}

// isRetryable reports whether a query may run again after it ended with err or,
// if err is nil, with a partial result.
func isRetryable(route *table.Route, err error) bool {
	if err == nil {
		return route.IsIdempotent()
	}
	f := fault.From(err)
	if f.Kind() == fault.RequestQuarantined {
		return false
	}
	return route.IsIdempotent() || f.Outcome() == fault.NotRun
}

// prepareFanOut pins a snapshot of a pool for one run of a query.
func (e *Engine) prepareFanOut(req Request, route *table.Route, pool string, excluded []uint64) (*fanOut, error) {
	view := e.opts.View.Load().Pool(pool)
	if view == nil {
		return nil, fault.New(fault.UnknownRoute, fault.NotRun, "there is no pool %q", pool)
	}
	snapshot := view.Snapshot(excluded...)
	if snapshot == nil {
		return nil, fault.New(fault.NoSnapshot, fault.NotRun, "no server of pool %q holds a snapshot", pool)
	}
	if !snapshot.IsComplete() && !route.AllowsPartial() {
		return nil, fault.New(fault.NoSnapshot, fault.NotRun, "only %d of %d shards of pool %q have a server", snapshot.HeldShards(), snapshot.ShardCount(), pool)
	}
	return newFanOut(e, req, route, view, snapshot), nil
}

// checkAdmission refuses a query before it is sent to any server if its deadline has
// passed, if too many queries are in flight on this host, or if the expected wait for a
// server is too long. The last two limits are lower for routes of lower priority.
func (e *Engine) checkAdmission(req Request, route *table.Route) error {
	remaining := time.Until(req.deadline)
	if remaining <= 0 {
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "the deadline had passed on arrival")
	}
	share := admissionShare(route.Priority())
	if float64(e.inFlight.Load()) > share*float64(e.opts.MaxInFlight) {
		return fault.New(fault.Overloaded, fault.NotRun, "%d queries are in flight on this host", e.inFlight.Load())
	}
	return e.checkQueueWait(route, remaining)
}

// checkQueueWait refuses a query that must wait for a server if the expected wait
// plus the pool's median latency exceeds the share of the query's remaining time
// that maxWaitShare allows. The expected wait is the mean over all shards if the
// route allows partial results, and otherwise the longest wait of any shard.
func (e *Engine) checkQueueWait(route *table.Route, remaining time.Duration) error {
	pool := e.opts.View.Load().Pool(route.Pool())
	if pool == nil || pool.Snapshot() == nil {
		return nil
	}
	wait, longest := pool.Snapshot().ExpectedWaits()
	if !route.AllowsPartial() {
		wait = longest
	}
	if wait > 0 && float64(wait+pool.Load().MedianLatency()) > maxWaitShare(route.Priority())*float64(remaining) {
		return fault.New(fault.Overloaded, fault.NotRun, "the wait for a server is %s, the request has %s", wait.Round(time.Millisecond), remaining.Round(time.Millisecond))
	}
	return nil
}

// admissionShare returns the fraction of Options.MaxInFlight (the limit on queries in
// flight) up to which queries of the given priority are admitted.
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

// maxWaitShare returns the largest fraction of a request's remaining time that the wait
// for a server and the pool's median latency may take together. It keeps queues short,
// so that servers work only on requests that will be answered before their deadlines.
func maxWaitShare(p table.Priority) float64 {
	switch p {
	case table.High:
		return 0.6
	case table.Low:
		return 0.1
	default:
		return 0.25
	}
}

// callDeadline returns the latest time at which a server may start a call of the query.
// It lies before the query's deadline, so that there is time to return the reply.
func callDeadline(req Request) time.Time {
	remaining := time.Until(req.deadline)
	return req.deadline.Add(-min(remaining/replyReserveDivisor, maxReplyReserve))
}
