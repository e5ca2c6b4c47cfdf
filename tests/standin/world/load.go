package world

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/query"
)

// Load is an open-loop load of queries on one route: queries arrive at random times,
// independently of the answers.
type Load struct {
	Route string
	// Rate is the mean number of queries per second.
	Rate float64
	// Duration is the time for which queries are sent.
	Duration time.Duration
	// Timeout is the timeout of each query. 0 means one second.
	Timeout time.Duration
	// Payload is the payload of each query. Empty means {}.
	Payload string
	// Skip holds the indices of the daemons that get no queries, as if the load balancer
	// had taken them out.
	Skip map[int]bool
}

// Outcome is the result of one query.
type Outcome struct {
	// SentAt is the time at which the query was sent.
	SentAt  time.Time
	Latency time.Duration
	// Answered is the number of shards in the answer, out of Total.
	Answered int
	Total    int
	// Pool is the pool that answered.
	Pool string
	// Err is the reason why there is no answer, or nil.
	Err *fault.Fault
}

// RunLoad sends the queries of a load, each through a random host that is up and ready,
// and waits for their results. The seed of the deployment determines all random draws.
func (w *World) RunLoad(l Load) []Outcome {
	if l.Timeout == 0 {
		l.Timeout = time.Second
	}
	if l.Payload == "" {
		l.Payload = `{}`
	}
	rng := rand.New(rand.NewPCG(w.Config.Seed, 11))
	var mu sync.Mutex
	var outcomes []Outcome
	var wg sync.WaitGroup
	end := time.Now().Add(l.Duration)
	for {
		time.Sleep(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		if time.Now().After(end) {
			break
		}
		host := w.pickHost(rng, l.Skip)
		wg.Go(func() {
			o := w.runQuery(host, l)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	wg.Wait()
	return outcomes
}

// pickHost returns a random host that is up, ready and not in skip. A load balancer picks
// hosts in the same way.
func (w *World) pickHost(rng *rand.Rand, skip map[int]bool) *Host {
	for {
		i := rng.IntN(w.Config.Daemons)
		host := w.Host(i)
		if !skip[i] && !host.down.Load() && host.Daemon.Readiness().Ready {
			return host
		}
	}
}

// runQuery sends one query of a load through a host and returns its outcome.
func (w *World) runQuery(host *Host, l Load) Outcome {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
	defer cancel()
	result, err := host.Daemon.Engine().Run(ctx, query.NewRequest(l.Route, []byte(l.Payload), start.Add(l.Timeout)))
	o := Outcome{SentAt: start, Latency: time.Since(start)}
	if err != nil {
		o.Err = fault.From(err)
		return o
	}
	o.Answered, o.Total, o.Pool = result.Answered(), result.Total(), result.Pool()
	return o
}

// Submit sends one request with an idempotency key through a daemon. If key is empty the
// request has no key.
func (w *World) Submit(i int, route, key, payload string, timeout time.Duration) (*query.Result, *fault.Fault) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req := query.NewRequest(route, []byte(payload), time.Now().Add(timeout)).WithKey(key)
	result, err := w.Host(i).Daemon.Engine().Run(ctx, req)
	if err != nil {
		return nil, fault.From(err)
	}
	return result, nil
}

// Summary holds the counts, latencies and coverage of a set of queries.
type Summary struct {
	// Queries is the number of all queries, and the sum of the other four. Refused is the
	// number of queries that failed with the outcome "not run", Failed the number of
	// those that failed with another outcome.
	Queries, Whole, Partial, Refused, Failed int
	// P50, P99 and P999 are quantiles of the latencies of all queries, including failed
	// ones.
	P50, P99, P999 time.Duration
	// Coverage is the mean share of shards that an answer covers, between 0 and 1. A
	// query without an answer counts as 0.
	Coverage float64
}

// Summarise returns the summary of a set of outcomes.
func Summarise(outcomes []Outcome) Summary {
	s := Summary{Queries: len(outcomes)}
	var latencies []time.Duration
	for _, o := range outcomes {
		switch {
		case o.Err != nil && o.Err.Outcome() == fault.NotRun:
			s.Refused++
		case o.Err != nil:
			s.Failed++
		case o.Answered < o.Total:
			s.Partial++
		default:
			s.Whole++
		}
		if o.Total > 0 {
			s.Coverage += float64(o.Answered) / float64(o.Total)
		}
		latencies = append(latencies, o.Latency)
	}
	if len(latencies) == 0 {
		return s
	}
	s.Coverage /= float64(len(outcomes))
	slices.Sort(latencies)
	at := func(q float64) time.Duration { return latencies[int(q*float64(len(latencies)-1))] }
	s.P50, s.P99, s.P999 = at(0.5), at(0.99), at(0.999)
	return s
}

// Counts holds the counters of the query engines, summed over all daemons.
type Counts struct{ Attempts, Hedges, Probes, Retries, Hops int64 }

// Counts returns the counters of the query engines, summed over the daemons that were
// last started on each host. The counts of earlier daemons are not included.
func (w *World) Counts() Counts {
	var c Counts
	for i := range w.Config.Daemons {
		e := w.Host(i).Daemon.Engine().Counters()
		c.Attempts += e.Attempts.Load()
		c.Hedges += e.Hedges.Load()
		c.Probes += e.Probes.Load()
		c.Retries += e.Retries.Load()
		c.Hops += e.Hops.Load()
	}
	return c
}

// ExtraSendShare returns the number of extra sends (hedges and probes) divided by the
// number of all other attempts, both counted between before and after.
func ExtraSendShare(before, after Counts) float64 {
	extra := after.Hedges + after.Probes - before.Hedges - before.Probes
	return float64(extra) / float64(max(after.Attempts-before.Attempts-extra, 1))
}
