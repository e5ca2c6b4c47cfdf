// Package quantile estimates latency quantiles over recent time without locks.
//
// # Usage
//
// An Estimator counts durations in logarithmic buckets, about 9 % wide. Halve
// is called at a fixed interval by one controller, so that old values fade:
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
	floor            = 10 * time.Microsecond
	// minimumSamples is the number of observations below which no quantile is
	// given.
	minimumSamples = 20
)

// Estimator is a fading histogram of durations.
type Estimator struct {
	buckets [bucketCount]atomic.Int64
}

func bucketOf(d time.Duration) int {
	if d <= floor {
		return 0
	}
	b := int(math.Log2(float64(d)/float64(floor))*bucketsPerOctave) + 1
	return min(b, bucketCount-1)
}

// bound returns the upper bound of bucket b.
func bound(b int) time.Duration {
	return time.Duration(float64(floor) * math.Exp2(float64(b)/bucketsPerOctave))
}

// Observe counts one duration.
func (e *Estimator) Observe(d time.Duration) {
	e.buckets[bucketOf(d)].Add(1)
}

// Halve lets old observations fade.
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

// Count returns the number of observations that have not faded.
func (e *Estimator) Count() int64 {
	var n int64
	for i := range e.buckets {
		n += e.buckets[i].Load()
	}
	return n
}

// Quantile returns the upper bound of the bucket that holds quantile q between
// 0 and 1. It reports false while there are too few observations.
func (e *Estimator) Quantile(q float64) (time.Duration, bool) {
	n := e.Count()
	if n < minimumSamples {
		return 0, false
	}
	rank := int64(math.Ceil(q * float64(n)))
	var seen int64
	for i := range e.buckets {
		seen += e.buckets[i].Load()
		if seen >= rank {
			return bound(i), true
		}
	}
	return bound(bucketCount - 1), true
}
