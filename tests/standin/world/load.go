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

// Load is an open-loop load of queries on one route.
type Load struct {
	Route   string
	Rate    float64
	For     time.Duration
	Timeout time.Duration
	Payload string
	// Skip leaves daemons out, as the balancer does with those not ready.
	Skip map[int]bool
}

// Outcome is the end of one query.
type Outcome struct {
	At       time.Time
	Latency  time.Duration
	Answered int
	Total    int
	Pool     string
	Err      *fault.Fault
}

// Run sends queries at random times and waits for all of them.
func (w *World) Run(l Load) []Outcome {
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
	end := time.Now().Add(l.For)
	for {
		time.Sleep(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		if time.Now().After(end) {
			break
		}
		n := w.pick(rng, l.Skip)
		wg.Go(func() {
			o := w.ask(n, l)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	wg.Wait()
	return outcomes
}

// pick chooses a daemon as the balancer does: one that is up and ready.
func (w *World) pick(rng *rand.Rand, skip map[int]bool) *Node {
	for {
		i := rng.IntN(w.Config.Daemons)
		n := w.Node(i)
		if !skip[i] && !n.down.Load() && n.Daemon.Readiness().Ready {
			return n
		}
	}
}

func (w *World) ask(n *Node, l Load) Outcome {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
	defer cancel()
	result, err := n.Daemon.Engine().Run(ctx, query.NewRequest(l.Route, []byte(l.Payload), start.Add(l.Timeout)))
	o := Outcome{At: start, Latency: time.Since(start)}
	if err != nil {
		o.Err = fault.From(err)
		return o
	}
	o.Answered, o.Total, o.Pool = result.Answered(), result.Total(), result.Pool()
	return o
}

// Submit sends one request through a daemon.
func (w *World) Submit(i int, route, key, payload string, timeout time.Duration) (*query.Result, *fault.Fault) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req := query.NewRequest(route, []byte(payload), time.Now().Add(timeout)).WithKey(key)
	result, err := w.Node(i).Daemon.Engine().Run(ctx, req)
	if err != nil {
		return nil, fault.From(err)
	}
	return result, nil
}

// Summary is what a set of outcomes comes to.
type Summary struct {
	Asked, Whole, Partial, Refused, Failed int
	P50, P99, P999                         time.Duration
	Coverage                               float64
}

// Summarise folds outcomes. Coverage counts a query without answer as zero.
func Summarise(outcomes []Outcome) Summary {
	s := Summary{Asked: len(outcomes)}
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

// Counts are the sums of the engines' counters.
type Counts struct{ Attempts, Hedges, Probes, Retries, Hops int64 }

// Counts returns the sums over all daemons.
func (w *World) Counts() Counts {
	var c Counts
	for i := range w.Config.Daemons {
		e := w.Node(i).Daemon.Engine().Counters()
		c.Attempts += e.Attempts.Load()
		c.Hedges += e.Hedges.Load()
		c.Probes += e.Probes.Load()
		c.Retries += e.Retries.Load()
		c.Hops += e.Hops.Load()
	}
	return c
}

// Extra returns the share of attempts that were second ones, between two counts.
func Extra(before, after Counts) float64 {
	extra := after.Hedges + after.Probes - before.Hedges - before.Probes
	return float64(extra) / float64(max(after.Attempts-before.Attempts-extra, 1))
}
