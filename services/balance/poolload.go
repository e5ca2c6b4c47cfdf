package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/modules/budget"
	"github.com/godwithatch/godwithatch/modules/quantile"
	"github.com/godwithatch/godwithatch/services/upstream"
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
	typical   atomic.Int64
	delay     atomic.Int64
	inFlight  atomic.Int64

	fadedAt time.Time

	mu     sync.Mutex
	queues map[upstream.Holding]*WaitQueue
}

func newPoolLoad(policy Policy) *PoolLoad {
	l := &PoolLoad{
		policy: policy,
		extra:  budget.New(policy.HedgeShare, policy.HedgeBurst),
		queues: map[upstream.Holding]*WaitQueue{},
	}
	l.delay.Store(int64(defaultHedgeDelay))
	return l
}

// queue returns the requests that wait for one shard of a snapshot.
func (l *PoolLoad) queue(h upstream.Holding) *WaitQueue {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queues[h]
	if q == nil {
		q = &WaitQueue{}
		l.queues[h] = q
	}
	return q
}

// keepQueues forgets the queues of shards that no server holds any more.
func (l *PoolLoad) keepQueues(held map[upstream.Holding]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for h, q := range l.queues {
		if !held[h] && q.Len() == 0 {
			delete(l.queues, h)
		}
	}
}

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
	return l.extra.Withdraw()
}

// HedgeDelay returns how long to wait for an answer before a backup request.
func (l *PoolLoad) HedgeDelay() time.Duration { return time.Duration(l.delay.Load()) }

// Typical returns the median latency of the pool, or zero.
func (l *PoolLoad) Typical() time.Duration { return time.Duration(l.typical.Load()) }

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
