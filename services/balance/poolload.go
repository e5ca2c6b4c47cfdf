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
	latencyDecayInterval = 2 * time.Second
	// defaultHedgeDelay is the hedge delay (the time to wait for an answer before a
	// backup request is sent) until enough latencies are known.
	defaultHedgeDelay = 50 * time.Millisecond
	// minHedgeDelay is the minimum hedge delay. It keeps jitter from triggering backup
	// requests.
	minHedgeDelay = time.Millisecond
	// medianQuantile is the quantile of the pool's latencies with which the latency of
	// each server is compared.
	medianQuantile = 0.5
)

// PoolLoad holds the latencies, the budget of extra sends and the waiting requests of one
// pool at this host. An extra send is a further copy of a request: a backup request,
// which is sent when an answer takes long, or a probe.
type PoolLoad struct {
	policy        Policy
	latencies     quantile.Estimator
	extraBudget   *budget.Budget
	medianLatency atomic.Int64
	hedgeDelay    atomic.Int64
	inFlight      atomic.Int64

	decayedAt time.Time

	mu     sync.Mutex
	queues map[upstream.Holding]*WaitQueue
}

func newPoolLoad(policy Policy) *PoolLoad {
	l := &PoolLoad{
		policy:      policy,
		extraBudget: budget.New(policy.HedgeShare, policy.HedgeBurst),
		queues:      map[upstream.Holding]*WaitQueue{},
	}
	l.hedgeDelay.Store(int64(defaultHedgeDelay))
	return l
}

// queue returns the queue of requests that wait for one shard of a snapshot, and
// creates it if there is none.
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

// removeIdleQueues removes the empty queues of shards that are not in held, because no
// server holds them any more.
func (l *PoolLoad) removeIdleQueues(held map[upstream.Holding]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for h, q := range l.queues {
		if !held[h] && q.Len() == 0 {
			delete(l.queues, h)
		}
	}
}

// Deposit adds the allowance for one regular request, Policy.HedgeShare, to the budget of
// extra sends.
func (l *PoolLoad) Deposit() { l.extraBudget.Deposit() }

// WithdrawExtraSend withdraws one extra send from the budget and reports whether the
// budget allows it. Policy.NoHedge forbids every extra send, and Policy.HedgeQuantile
// allows every one, without using the budget.
func (l *PoolLoad) WithdrawExtraSend() bool {
	if l.policy.NoHedge {
		return false
	}
	if l.policy.HedgeQuantile > 0 {
		return true
	}
	return l.extraBudget.Withdraw()
}

// HedgeDelay returns the time to wait for an answer before a backup request is sent.
func (l *PoolLoad) HedgeDelay() time.Duration { return time.Duration(l.hedgeDelay.Load()) }

// MedianLatency returns the median latency of the pool, or zero if none is known.
func (l *PoolLoad) MedianLatency() time.Duration { return time.Duration(l.medianLatency.Load()) }

// tick updates the median latency and the hedge delay, and halves the weight of the
// recorded latencies every latencyDecayInterval. It must not be called concurrently.
func (l *PoolLoad) tick(now time.Time) {
	if median, ok := l.latencies.Quantile(medianQuantile); ok {
		l.medianLatency.Store(int64(median))
	}
	q := 1 - l.policy.HedgeShare
	if l.policy.HedgeQuantile > 0 {
		q = l.policy.HedgeQuantile
	}
	if d, ok := l.latencies.Quantile(q); ok {
		l.hedgeDelay.Store(int64(max(d, minHedgeDelay)))
	}
	if now.Sub(l.decayedAt) >= latencyDecayInterval {
		l.decayedAt = now
		l.latencies.Halve()
	}
}
