package move

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/services/query"
)

// logScale is the resolution of the logarithm of a latency.
const logScale = 1024

// Counts sum the ends of queries on one pool. Latencies are counted as
// logarithms, since they spread by factors.
type Counts struct {
	Queries   uint64 `cbor:"1,keyasint,omitempty"`
	Failures  uint64 `cbor:"2,keyasint,omitempty"`
	Latencies uint64 `cbor:"3,keyasint,omitempty"`
	// LogSum and LogSquares sum the binary logarithm of the latency in
	// microseconds, times logScale, and its square.
	LogSum     uint64 `cbor:"4,keyasint,omitempty"`
	LogSquares uint64 `cbor:"5,keyasint,omitempty"`
	// Attempts are requests to servers, Errors those answered wrongly.
	Attempts uint64 `cbor:"6,keyasint,omitempty"`
	Errors   uint64 `cbor:"7,keyasint,omitempty"`
}

func (c Counts) plus(o Counts) Counts {
	return Counts{
		c.Queries + o.Queries, c.Failures + o.Failures, c.Latencies + o.Latencies,
		c.LogSum + o.LogSum, c.LogSquares + o.LogSquares, c.Attempts + o.Attempts, c.Errors + o.Errors,
	}
}

func (c Counts) minus(o Counts) Counts {
	return Counts{
		c.Queries - o.Queries, c.Failures - o.Failures, c.Latencies - o.Latencies,
		c.LogSum - o.LogSum, c.LogSquares - o.LogSquares, c.Attempts - o.Attempts, c.Errors - o.Errors,
	}
}

// logMean returns the mean and the variance of the binary logarithm.
func (c Counts) logMean() (mean, variance float64) {
	n := float64(c.Latencies)
	mean = float64(c.LogSum) / n / logScale
	variance = float64(c.LogSquares)/n/logScale/logScale - mean*mean
	return mean, max(variance, 0)
}

// counter counts on the request path.
type counter struct {
	queries, failures, latencies, logSum, logSquares, attempts, errors atomic.Uint64
}

// add counts the end of one query. The latency counts only if it tells something
// of the version: the query was answered and the servers were not limited.
func (c *counter) add(q query.Report, settled bool) {
	c.queries.Add(1)
	c.attempts.Add(uint64(q.Attempts))
	c.errors.Add(uint64(q.Errors))
	if q.Failed {
		c.failures.Add(1)
		return
	}
	if !settled || q.Latency <= 0 {
		return
	}
	log := uint64(math.Log2(float64(max(q.Latency, time.Microsecond))/float64(time.Microsecond)) * logScale)
	c.latencies.Add(1)
	c.logSum.Add(log)
	c.logSquares.Add(log * log)
}

func (c *counter) counts() Counts {
	return Counts{c.queries.Load(), c.failures.Load(), c.latencies.Load(), c.logSum.Load(), c.logSquares.Load(), c.attempts.Load(), c.errors.Load()}
}

// pair counts one route on both pools.
type pair struct{ old, fresh counter }

// Evidence is what one host counted for one move on one route since its process
// started.
type Evidence struct {
	Host  string `cbor:"1,keyasint"`
	Boot  uint64 `cbor:"2,keyasint"`
	Move  string `cbor:"3,keyasint"`
	Route string `cbor:"4,keyasint"`
	Old   Counts `cbor:"5,keyasint"`
	Fresh Counts `cbor:"6,keyasint"`
	// Applied is the step that the host follows, or -1 after a stop.
	Applied int `cbor:"7,keyasint"`
}

// both are the sums of one route over all hosts.
type both struct{ old, fresh Counts }

func (b both) plus(o both) both { return both{b.old.plus(o.old), b.fresh.plus(o.fresh)} }

func (b both) minus(o both) both { return both{b.old.minus(o.old), b.fresh.minus(o.fresh)} }

const (
	// failureDeviations and slowDeviations are how far beyond chance, in
	// standard deviations, the new pool must be to be judged bad. With a few
	// windows a second over a minute the false alarm rate stays far below one
	// in a thousand moves.
	failureDeviations = 5
	slowDeviations    = 5
	// minimumFailures and minimumLatencies are the least evidence of a fault.
	minimumFailures  = 4
	minimumLatencies = 20
	// toleratedSlowdown is the binary logarithm of the factor by which a new
	// version may answer later: 1.6. New connections at a small share, and the
	// load that the old pool has lost at a large one, come to 1.4.
	toleratedSlowdown = 0.68
	// firstFailureRate is what the old pool is taken to fail at the least.
	firstFailureRate = 0.002
)

// failsMore reports whether the new pool fails more often than the old one, in
// whole queries or in single requests.
func (b both) failsMore() bool {
	return isRateHigher(b.fresh.Failures, b.fresh.Queries, b.old.Failures, b.old.Queries) ||
		isRateHigher(b.fresh.Errors, b.fresh.Attempts, b.old.Errors, b.old.Attempts)
}

// isRateHigher reports whether failures among n are more than chance explains,
// given those of the old pool.
func isRateHigher(failures, n, oldFailures, oldN uint64) bool {
	if failures < minimumFailures {
		return false
	}
	rate := max(float64(oldFailures)/float64(max(oldN, 1)), firstFailureRate)
	expected := float64(n) * rate
	uncertainty := expected * expected / float64(oldFailures+1)
	return float64(failures) > expected+failureDeviations*math.Sqrt(expected+uncertainty)
}

// isSlower reports whether the new pool answers later than the old one.
func (b both) isSlower() bool {
	if b.fresh.Latencies < minimumLatencies || b.old.Latencies < minimumLatencies {
		return false
	}
	freshMean, freshVariance := b.fresh.logMean()
	oldMean, oldVariance := b.old.logMean()
	deviation := math.Sqrt(freshVariance/float64(b.fresh.Latencies) + oldVariance/float64(b.old.Latencies))
	excess := freshMean - oldMean
	return excess > toleratedSlowdown && excess > slowDeviations*deviation
}

// failureText states the evidence of failsMore for operators.
func (b both) failureText(window time.Duration) string {
	return fmt.Sprintf("in %s %d of %d queries and %d of %d requests, against %d of %d and %d of %d on the old one",
		window, b.fresh.Failures, b.fresh.Queries, b.fresh.Errors, b.fresh.Attempts,
		b.old.Failures, b.old.Queries, b.old.Errors, b.old.Attempts)
}

// latencyText states the evidence of isSlower for operators.
func (b both) latencyText(window time.Duration) string {
	freshMean, _ := b.fresh.logMean()
	oldMean, _ := b.old.logMean()
	return fmt.Sprintf("in %s %.2f times as long over %d queries, against %d on the old one",
		window, math.Exp2(freshMean-oldMean), b.fresh.Latencies, b.old.Latencies)
}
