package balance

import (
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/modules/budget"
	"github.com/godwithatch/godwithatch/modules/quantile"
)

const (
	fadeInterval = 2 * time.Second
	// defaultHedgeDelay is used while too few latencies are known.
	defaultHedgeDelay = 50 * time.Millisecond
	// minimumHedgeDelay keeps backup requests from following jitter.
	minimumHedgeDelay = time.Millisecond
	// baselineQuantile is the median against which servers are compared.
	baselineQuantile = 0.5
)

// PoolLoad is what this host knows of the load of one pool.
type PoolLoad struct {
	policy    Policy
	latencies quantile.Estimator
	extra     *budget.Budget
	waiting   atomic.Int64
	typical   atomic.Int64
	delay     atomic.Int64
	inFlight  atomic.Int64
	freed     chan struct{}

	fadedAt time.Time
}

func newPoolLoad(policy Policy) *PoolLoad {
	l := &PoolLoad{
		policy: policy,
		extra:  budget.New(policy.HedgeShare, policy.HedgeBurst),
		freed:  make(chan struct{}, 1),
	}
	l.delay.Store(int64(defaultHedgeDelay))
	return l
}

// free wakes one request that waits for a server.
func (l *PoolLoad) free() {
	if l.waiting.Load() == 0 {
		return
	}
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Freed receives a value when a server may have become free.
func (l *PoolLoad) Freed() <-chan struct{} { return l.freed }

// EnterQueue counts one request that waits for a server.
func (l *PoolLoad) EnterQueue() { l.waiting.Add(1) }

// LeaveQueue ends the count and wakes the next one that waits.
func (l *PoolLoad) LeaveQueue() {
	l.waiting.Add(-1)
	l.free()
}

// Waiting returns how many requests wait for a server.
func (l *PoolLoad) Waiting() int { return int(l.waiting.Load()) }

// Deposit counts one regular request into the budget of extra ones.
func (l *PoolLoad) Deposit() { l.extra.Deposit() }

// MayHedge takes one extra request out of the budget.
func (l *PoolLoad) MayHedge() bool {
	if l.policy.NoHedge {
		return false
	}
	if l.policy.HedgeAfter > 0 {
		return true
	}
	return l.waiting.Load() == 0 && l.extra.Withdraw()
}

// HedgeDelay returns how long to wait for an answer before a backup request.
func (l *PoolLoad) HedgeDelay() time.Duration { return time.Duration(l.delay.Load()) }

// Typical returns the median latency of the pool, or zero.
func (l *PoolLoad) Typical() time.Duration { return time.Duration(l.typical.Load()) }

// ExpectedWait returns how long a new request would wait for a server. By
// Little's law the requests in flight leave at their number over their latency;
// the rate of the past would tell nothing after a time without load.
func (l *PoolLoad) ExpectedWait() time.Duration {
	waiting := l.waiting.Load()
	if waiting == 0 {
		return 0
	}
	return time.Duration(waiting * l.typical.Load() / max(l.inFlight.Load(), 1))
}

// tick folds the counters. One controller calls it.
func (l *PoolLoad) tick(now time.Time) {
	if median, ok := l.latencies.Quantile(baselineQuantile); ok {
		l.typical.Store(int64(median))
	}
	q := 1 - l.policy.HedgeShare
	if l.policy.HedgeAfter > 0 {
		q = l.policy.HedgeAfter
	}
	if d, ok := l.latencies.Quantile(q); ok {
		l.delay.Store(int64(max(d, minimumHedgeDelay)))
	}
	if now.Sub(l.fadedAt) >= fadeInterval {
		l.fadedAt = now
		l.latencies.Halve()
	}
}
