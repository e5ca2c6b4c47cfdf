// Package quantile estimates quantiles of recent latencies without locks.
//
// # Usage
//
// An Estimator counts durations in logarithmic buckets, each about 9 % wide. One
// controller calls Halve at a fixed interval, so that the weight of old observations
// decays exponentially:
//
//	var e quantile.Estimator
//	e.Observe(12 * time.Millisecond)
//	p95, ok := e.Quantile(0.95)
//
// The zero value is ready to use. Observe is safe for concurrent use and does
// not allocate.
package quantile

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	bucketsPerOctave = 8
	bucketCount      = 30 * bucketsPerOctave
	// firstUpperBound is the upper bound of the first bucket.
	firstUpperBound = 10 * time.Microsecond
	// minSamples is the number of observations below which Quantile gives no estimate.
	minSamples = 20
)

// Estimator is an exponentially decaying histogram of durations.
type Estimator struct {
	buckets [bucketCount]atomic.Int64
}

func bucketIndex(d time.Duration) int {
	if d <= firstUpperBound {
		return 0
	}
	b := int(math.Log2(float64(d)/float64(firstUpperBound))*bucketsPerOctave) + 1
	return min(b, bucketCount-1)
}

func upperBound(b int) time.Duration {
	return time.Duration(float64(firstUpperBound) * math.Exp2(float64(b)/bucketsPerOctave))
}

// Observe records one duration.
func (e *Estimator) Observe(d time.Duration) {
	e.buckets[bucketIndex(d)].Add(1)
}

// Halve halves the count of every bucket, so that the observations so far weigh half as
// much as before.
func (e *Estimator) Halve() {
	for i := range e.buckets {
		b := &e.buckets[i]
		for {
			v := b.Load()
			if v == 0 || b.CompareAndSwap(v, v/2) {
				break
			}
		}
	}
}

// Count returns the sum of the counts of all buckets. Each call of Halve has reduced the
// counts of earlier observations by half.
func (e *Estimator) Count() int64 {
	var n int64
	for i := range e.buckets {
		n += e.buckets[i].Load()
	}
	return n
}

// Quantile returns the upper bound of the bucket that contains the quantile q, where q is
// between 0 and 1. It reports false while there are fewer than minSamples observations.
func (e *Estimator) Quantile(q float64) (time.Duration, bool) {
	n := e.Count()
	if n < minSamples {
		return 0, false
	}
	rank := int64(math.Ceil(q * float64(n)))
	var cumulative int64
	for i := range e.buckets {
		cumulative += e.buckets[i].Load()
		if cumulative >= rank {
			return upperBound(i), true
		}
	}
	return upperBound(bucketCount - 1), true
}
