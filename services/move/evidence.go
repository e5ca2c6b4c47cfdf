package move

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/services/query"
)

// logScale is the factor by which the logarithm of a latency is multiplied before it
// is rounded down to an integer.
const logScale = 1024

// Counts holds the numbers of queries and failures on one pool, and sums of the
// latencies. Latencies are summed as logarithms, because latencies differ by factors
// rather than by amounts.
type Counts struct {
	Queries  uint64 `cbor:"1,keyasint,omitempty"`
	Failures uint64 `cbor:"2,keyasint,omitempty"`
	// LatencySamples is the number of queries whose latency was counted.
	LatencySamples uint64 `cbor:"3,keyasint,omitempty"`
	// The logarithm of a latency is the binary logarithm of its microseconds, times
	// logScale. LogSum is the sum of these logarithms. LogSquares is the sum of their
	// squares.
	LogSum     uint64 `cbor:"4,keyasint,omitempty"`
	LogSquares uint64 `cbor:"5,keyasint,omitempty"`
	// Attempts is the number of requests to servers. Errors is the number of these
	// requests that failed because of an error status or an invalid answer.
	Attempts uint64 `cbor:"6,keyasint,omitempty"`
	Errors   uint64 `cbor:"7,keyasint,omitempty"`
}

func (c Counts) plus(o Counts) Counts {
	return Counts{
		c.Queries + o.Queries, c.Failures + o.Failures, c.LatencySamples + o.LatencySamples,
		c.LogSum + o.LogSum, c.LogSquares + o.LogSquares, c.Attempts + o.Attempts, c.Errors + o.Errors,
	}
}

func (c Counts) minus(o Counts) Counts {
	return Counts{
		c.Queries - o.Queries, c.Failures - o.Failures, c.LatencySamples - o.LatencySamples,
		c.LogSum - o.LogSum, c.LogSquares - o.LogSquares, c.Attempts - o.Attempts, c.Errors - o.Errors,
	}
}

// logMeanVariance returns the mean and the variance of the binary logarithm of the
// latency in microseconds.
func (c Counts) logMeanVariance() (mean, variance float64) {
	n := float64(c.LatencySamples)
	mean = float64(c.LogSum) / n / logScale
	variance = float64(c.LogSquares)/n/logScale/logScale - mean*mean
	return mean, max(variance, 0)
}

// counter holds the counts of one route on one pool. The request path updates it
// without a lock.
type counter struct {
	queries, failures, latencies, logSum, logSquares, attempts, errors atomic.Uint64
}

// add counts one query and how it ended. The latency is counted only if the query was
// answered and the pool was warm (most of its servers had ramped up). Other latencies
// are no evidence about the software version that the pool runs.
func (c *counter) add(q query.Report, isPoolWarm bool) {
	c.queries.Add(1)
	c.attempts.Add(uint64(q.Attempts))
	c.errors.Add(uint64(q.Errors))
	if q.Failed {
		c.failures.Add(1)
		return
	}
	if !isPoolWarm || q.Latency <= 0 {
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

// counterPair holds the counters of one route on the old and the new pool of a move.
type counterPair struct{ oldPool, newPool counter }

// Evidence holds the counts of one host for the queries of one route on the old and the
// new pool of a move, since the host's process started.
type Evidence struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Move        string `cbor:"3,keyasint"`
	Route       string `cbor:"4,keyasint"`
	OldPool     Counts `cbor:"5,keyasint"`
	NewPool     Counts `cbor:"6,keyasint"`
	// Applied is the number of the step of the move that the host applies (see
	// stepShares), or -1 if the move is stopped on the host.
	Applied int `cbor:"7,keyasint"`
}

// countsPair holds the counts of the old and the new pool of a move, summed over all
// hosts.
type countsPair struct{ oldPool, newPool Counts }

func (p countsPair) plus(o countsPair) countsPair {
	return countsPair{p.oldPool.plus(o.oldPool), p.newPool.plus(o.newPool)}
}

func (p countsPair) minus(o countsPair) countsPair {
	return countsPair{p.oldPool.minus(o.oldPool), p.newPool.minus(o.newPool)}
}

const (
	// failureThresholdDeviations and slowdownThresholdDeviations are the numbers of
	// standard deviations by which the failures and the latencies of the new pool must
	// exceed those of the old pool to show a fault. If the counts of a few periods are
	// judged each second for a minute, the rate of false alarms stays far below one in
	// a thousand moves.
	failureThresholdDeviations  = 5
	slowdownThresholdDeviations = 5
	// minFailures is the smallest number of failures that can show a fault.
	// minLatencySamples is the smallest number of latencies on each pool that can show
	// a fault.
	minFailures       = 4
	minLatencySamples = 20
	// maxSlowdownLog2 is the binary logarithm of 1.6, the largest factor by which the
	// latency of the new pool may exceed that of the old pool. A factor of 1.4 does not
	// indicate a fault: while the new pool has a small share of the traffic, its
	// connections are new, and once it has a large share, the old pool is faster
	// because it has less load.
	maxSlowdownLog2 = 0.68
	// minBaselineFailureRate is the failure rate that is assumed for the old pool if
	// its measured rate is lower.
	minBaselineFailureRate = 0.002
)

// failsMoreOften reports whether the failure rate of the new pool, in queries or in the
// requests to its servers, is higher than that of the old pool by more than chance
// explains.
func (p countsPair) failsMoreOften() bool {
	return isRateHigher(p.newPool.Failures, p.newPool.Queries, p.oldPool.Failures, p.oldPool.Queries) ||
		isRateHigher(p.newPool.Errors, p.newPool.Attempts, p.oldPool.Errors, p.oldPool.Attempts)
}

// isRateHigher reports whether the number of failures among n queries or requests is
// higher than chance explains, given the failure rate of the old pool.
func isRateHigher(failures, n, oldFailures, oldN uint64) bool {
	if failures < minFailures {
		return false
	}
	rate := max(float64(oldFailures)/float64(max(oldN, 1)), minBaselineFailureRate)
	expected := float64(n) * rate
	uncertainty := expected * expected / float64(oldFailures+1)
	return float64(failures) > expected+failureThresholdDeviations*math.Sqrt(expected+uncertainty)
}

// isSlower reports whether the new pool is slower than the old one by more than
// maxSlowdownLog2 and by more than chance explains.
func (p countsPair) isSlower() bool {
	if p.newPool.LatencySamples < minLatencySamples || p.oldPool.LatencySamples < minLatencySamples {
		return false
	}
	newMean, newVariance := p.newPool.logMeanVariance()
	oldMean, oldVariance := p.oldPool.logMeanVariance()
	deviation := math.Sqrt(newVariance/float64(p.newPool.LatencySamples) + oldVariance/float64(p.oldPool.LatencySamples))
	excess := newMean - oldMean
	return excess > maxSlowdownLog2 && excess > slowdownThresholdDeviations*deviation
}

// failureText describes to operators the counts from which the result of failsMoreOften
// is computed.
func (p countsPair) failureText(window time.Duration) string {
	return fmt.Sprintf("in %s %d of %d queries and %d of %d requests, against %d of %d and %d of %d on the old one",
		window, p.newPool.Failures, p.newPool.Queries, p.newPool.Errors, p.newPool.Attempts,
		p.oldPool.Failures, p.oldPool.Queries, p.oldPool.Errors, p.oldPool.Attempts)
}

// latencyText describes to operators the latencies from which the result of isSlower is
// computed.
func (p countsPair) latencyText(window time.Duration) string {
	newMean, _ := p.newPool.logMeanVariance()
	oldMean, _ := p.oldPool.logMeanVariance()
	return fmt.Sprintf("in %s %.2f times as long over %d queries, against %d on the old one",
		window, math.Exp2(newMean-oldMean), p.newPool.LatencySamples, p.oldPool.LatencySamples)
}
