package query

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// isServerError reports whether a failed attempt indicates a fault in the
// software version that the server runs.
func isServerError(err error) bool {
	switch fault.From(err).Kind() {
	case fault.UpstreamFailed, fault.CorruptReply:
		return true
	default:
		return false
	}
}

// snapshotGoneError means that no server of a shard holds the snapshot of the query any
// more. The query must restart on another snapshot.
type snapshotGoneError struct {
	version uint64
	outcome fault.Outcome
}

// Error implements error.
func (s *snapshotGoneError) Error() string {
	return "no server of a shard holds the pinned snapshot any more"
}

// Unwrap returns the error as a fault.
func (s *snapshotGoneError) Unwrap() error {
	return fault.New(fault.NoSnapshot, s.outcome, "snapshot %d left its servers under the query", s.version)
}

func asSnapshotGone(err error) (*snapshotGoneError, bool) {
	var gone *snapshotGoneError
	return gone, errors.As(err, &gone)
}

// fanOut is one run of a query on all shards of one snapshot.
type fanOut struct {
	engine   *Engine
	req      Request
	route    *table.Route
	pool     *balance.PoolView
	snapshot *balance.SnapshotView
	call     upstream.Call
	// possibleRuns is the number of attempts that may have run on a server.
	possibleRuns atomic.Int32
	attempts     atomic.Int32
	serverErrors atomic.Int32
	// isWarmup marks a copy of a query that is sent to warm up the servers of a
	// pool. For such a copy, servers whose request limit is still growing are
	// chosen first.
	isWarmup      bool
	crashDetector crashDetector
	answers       []*upstream.Answer
	shardErrors   []error
}

func newFanOut(e *Engine, req Request, route *table.Route, pool *balance.PoolView, snapshot *balance.SnapshotView) *fanOut {
	holding := upstream.Holding{Snapshot: snapshot.Version(), Shards: snapshot.ShardCount()}
	call := upstream.NewCall("", req.route, holding, callDeadline(req), req.payload)
	if !route.IsIdempotent() {
		call = call.WithKey(req.key)
	}
	f := &fanOut{engine: e, req: req, route: route, pool: pool, snapshot: snapshot, call: call}
	f.answers = make([]*upstream.Answer, snapshot.ShardCount())
	f.shardErrors = make([]error, snapshot.ShardCount())
	f.crashDetector.init(&e.quarantine, req, snapshot.ShardCount())
	return f
}

// newReport returns a report on how the run ended. A move (a gradual shift of traffic
// between pools) uses the report to judge the pool. An error does not count as a failure
// if the Caller had cancelled the query.
func (f *fanOut) newReport(ctx context.Context, result *Result, err error, start time.Time) Report {
	failed := err != nil && !errors.Is(ctx.Err(), context.Canceled)
	isPartial := result != nil && len(result.missing) > 0
	return Report{
		Failed:   failed || isPartial,
		Latency:  time.Since(start),
		Attempts: int(f.attempts.Load()),
		Errors:   int(f.serverErrors.Load()),
	}
}

// run sends the query to every shard and merges the answers.
func (f *fanOut) run(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for shard := range f.answers {
		if len(f.snapshot.Replicas(shard)) == 0 {
			f.shardErrors[shard] = fault.New(fault.NoSnapshot, fault.NotRun, "shard %d has no server", shard)
			continue
		}
		wg.Go(func() {
			run := &shardRun{fanOut: f, shard: shard}
			f.answers[shard], f.shardErrors[shard] = run.run(ctx)
			if f.shardErrors[shard] != nil && f.isFatal(f.shardErrors[shard]) {
				cancel()
			}
		})
	}
	wg.Wait()
	return f.merge()
}

// isFatal reports whether the failure of one shard ends the query, so that the
// other shards need not finish.
func (f *fanOut) isFatal(err error) bool {
	if _, gone := asSnapshotGone(err); gone {
		return true
	}
	return !f.route.AllowsPartial() || fault.Is(err, fault.RequestQuarantined)
}

// mergeAnswers builds a result from the answers of the shards. A shard without an
// answer is listed as missing.
func mergeAnswers(pool string, snapshot uint64, answers []*upstream.Answer) *Result {
	result := &Result{pool: pool, snapshot: snapshot, total: len(answers)}
	result.shards = make([]ShardResult, 0, len(answers))
	for shard, a := range answers {
		if a == nil {
			result.missing = append(result.missing, shard)
			continue
		}
		result.shards = append(result.shards, ShardResult{shard, a.Results()})
	}
	return result
}

// merge returns the result if it is complete, or if it is partial and the route allows
// that. It returns an error instead of a partial result if the snapshot is gone, the
// request was quarantined or no shard answered.
func (f *fanOut) merge() (*Result, error) {
	result := mergeAnswers(f.pool.Pool().Name(), f.snapshot.Version(), f.answers)
	if len(result.missing) == 0 {
		return result, nil
	}
	err := f.worstError()
	_, gone := asSnapshotGone(err)
	if gone || !f.route.AllowsPartial() || len(result.shards) == 0 || fault.Is(err, fault.RequestQuarantined) {
		return nil, err
	}
	return result, nil
}

// worstError returns the error with which the run fails: a snapshotGoneError if a shard
// returned one and it is safe to restart the query, and otherwise the shard error with
// the highest faultSeverity. The outcome of the returned error applies to the whole
// query and is NotRun only if no attempt on any shard may have run.
func (f *fanOut) worstError() error {
	outcome := fault.NotRun
	if f.possibleRuns.Load() > 0 {
		outcome = fault.Unknown
	}
	var worst *fault.Fault
	for _, err := range f.shardErrors {
		if err == nil {
			continue
		}
		if gone, ok := asSnapshotGone(err); ok && (f.route.IsIdempotent() || outcome == fault.NotRun) {
			return &snapshotGoneError{gone.version, outcome}
		}
		current := fault.From(err)
		if worst == nil || faultSeverity(current) > faultSeverity(worst) {
			worst = current
		}
	}
	return worst.WithOutcome(outcome)
}

// faultSeverity returns a number that is higher the more a fault reveals about the
// cause of a failure.
func faultSeverity(f *fault.Fault) int {
	switch f.Kind() {
	case fault.Cancelled:
		return 0
	case fault.RequestQuarantined:
		return 3
	case fault.DeadlineExceeded:
		return 1
	default:
		return 2
	}
}
