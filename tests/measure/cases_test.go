package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/tests/standin/model"
	"github.com/godwithatch/godwithatch/tests/standin/objects"
	"github.com/godwithatch/godwithatch/tests/standin/world"
)

const (
	seed        = 1
	hostCount   = 8
	warmUp      = 8 * time.Second
	serviceTime = 10 * time.Millisecond
)

// deployment is a named configuration of hosts and servers.
type deployment struct {
	name   string
	config world.Config
}

// deployments are the two deployments that the brief describes, each with its most
// important pool only.
var deployments = []deployment{
	{"escape rooms: slot finder", world.Config{
		DataCentres: []string{"kingston", "montego-bay", "ocho-rios"}, OneWayLatency: 1500 * time.Microsecond,
		Pools: []world.Pool{{Name: "main", Groups: 10, Replicas: 3, Slots: 3, Connections: 30, MeanServiceTime: serviceTime, ConnectTime: 6 * time.Millisecond, Snapshot: 41}},
	}},
	{"weirs: run warnings", world.Config{
		DataCentres: []string{"tywi", "teifi", "wysg"}, OneWayLatency: 500 * time.Microsecond,
		Pools: []world.Pool{{Name: "main", Groups: 10, Replicas: 3, Slots: 2, Connections: 25, MeanServiceTime: serviceTime, ConnectTime: 6 * time.Millisecond, Snapshot: 41}},
	}},
}

// policy is a named balancing policy.
type policy struct {
	name   string
	policy balance.Policy
}

// policies holds the product's policy first, and then the policies to compare it with.
var policies = []policy{
	{"godwithatch", balance.Policy{}},
	{"direct, round robin", balance.Policy{Chooser: balance.RoundRobin{}, NoAdaptiveLimits: true, NoHedge: true}},
	{"direct, two choices", balance.Policy{Chooser: balance.TwoChoices{}, NoAdaptiveLimits: true, NoHedge: true}},
	{"two choices, backup at p95", balance.Policy{Chooser: balance.TwoChoices{}, NoAdaptiveLimits: true, HedgeQuantile: 0.95}},
}

// bench is one running deployment under one policy. capacity is the number of queries per
// second that the deployment can answer.
type bench struct {
	*world.World
	capacity float64
}

// start starts the deployment with policy p, waits until its hosts are ready and warms it
// up at 40 % of the capacity.
func (d deployment) start(p balance.Policy) (*bench, error) {
	cfg := d.config
	cfg.Daemons, cfg.Seed, cfg.Policy = hostCount, seed, p
	w := world.New(cfg)
	pool := cfg.Pools[0]
	b := &bench{w, float64(pool.Replicas*pool.Slots) / serviceTime.Seconds()}
	if err := w.AwaitReady(time.Minute); err != nil {
		return nil, err
	}
	w.RunLoad(world.Load{Route: "main", Rate: 0.4 * b.capacity, Duration: warmUp})
	return b, nil
}

// end stops the deployment and waits until its goroutines have finished.
func (b *bench) end() {
	b.Stop()
	time.Sleep(time.Minute)
}

// runLoad sends queries for d at a rate of share times the capacity, and returns their
// outcomes.
func (b *bench) runLoad(share float64, d time.Duration) []world.Outcome {
	return b.RunLoad(world.Load{Route: "main", Rate: share * b.capacity, Duration: d})
}

func formatMs(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }

func formatPercent(x float64) string { return fmt.Sprintf("%.2f %%", 100*x) }

// row is one row of a table of the report. Its figures are in the order of the table's
// columns.
type row []string

// measurement is one of the measurements that issue 4 lists. run makes the measurement
// and returns the rows of its table.
type measurement struct {
	title   string
	columns []string
	run     func(b *bench) []row
}

var latencyColumns = []string{"load", "p50 ms", "p99 ms", "p99.9 ms", "coverage", "extra load", "extra, worst second", "lost"}

// latencyRow runs a load and returns a row with the figures that latencyColumns names.
func latencyRow(b *bench, name string, share float64, d time.Duration) row {
	worstSecond := 0.0
	stop := make(chan struct{})
	done := make(chan struct{})
	start := b.Counts()
	go func() {
		defer close(done)
		before := start
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			now := b.Counts()
			worstSecond = max(worstSecond, world.ExtraSendShare(before, now))
			before = now
		}
	}()
	s := world.Summarise(b.runLoad(share, d))
	close(stop)
	<-done
	return row{name, formatMs(s.P50), formatMs(s.P99), formatMs(s.P999), formatPercent(s.Coverage), formatPercent(world.ExtraSendShare(start, b.Counts())), formatPercent(worstSecond), fmt.Sprint(s.Failed + s.Refused + s.Partial)}
}

// coldFigures returns the number of server crashes through overload, and the highest
// number of requests in flight to a cold server (one with empty caches).
func (b *bench) coldFigures() (crashes, maxColdLoad int) {
	b.EachServer(func(_, _, _ string, s *model.Server) {
		crashes += s.OverloadCrashes
		maxColdLoad = max(maxColdLoad, s.MaxColdInFlight)
	})
	return crashes, maxColdLoad
}

// slowReplicas makes one replica of each group slower by the given factor. If wholeGroup
// is set, it instead makes every replica of the first group slower.
func (b *bench) slowReplicas(factor float64, wholeGroup bool) {
	pool := b.Config.Pools[0]
	for g := range pool.Groups {
		if wholeGroup {
			if g == 0 {
				for r := range pool.Replicas {
					b.Server("main", g, r).SetFaults(model.Faults{Slowdown: factor})
				}
			}
			continue
		}
		b.Server("main", g, g%pool.Replicas).SetFaults(model.Faults{Slowdown: factor})
	}
}

var measurements = []measurement{
	{"Steady load", latencyColumns, func(b *bench) []row {
		return []row{
			latencyRow(b, "50 %", 0.5, 20*time.Second),
			latencyRow(b, "70 %", 0.7, 20*time.Second),
			latencyRow(b, "85 %", 0.85, 20*time.Second),
		}
	}},
	{"One replica of each group 10 times slower, 50 % load", latencyColumns, func(b *bench) []row {
		steady := latencyRow(b, "before", 0.5, 15*time.Second)
		b.slowReplicas(10, false)
		first := latencyRow(b, "first 5 s", 0.5, 5*time.Second)
		return []row{steady, first, latencyRow(b, "after", 0.5, 20*time.Second)}
	}},
	{"A whole group 4 times slower, 20 % load", latencyColumns, func(b *bench) []row {
		steady := latencyRow(b, "before", 0.2, 15*time.Second)
		b.slowReplicas(4, true)
		return []row{steady, latencyRow(b, "after", 0.2, 20*time.Second)}
	}},
	{"Cold servers, 70 % load", []string{"case", "falls through load", "most requests on a cold server (a wholly cold one bears 2)", "p99 ms", "lost"}, coldRows},
	{"A data centre out and back cold, 70 % of the two others' load", []string{"phase", "p99 ms", "lost", "last new work after the edit, s", "falls through load"}, drainRows},
	{"A daemon lost, 50 % load", []string{"case", "p99 ms", "p99.9 ms", "lost", "time until p99 of a second is below twice the steady one, s"}, hostRows},
	{"The store out of order, 20 % load", []string{"case", "generation everywhere after, s", "reverts", "lost"}, storeRows},
	{"Overload at 2 times capacity for 60 s", []string{"phase", "goodput / capacity", "answers of the high priority route", "answers of the low priority route", "refusals not run", "unknown", "false refusals"}, overloadRows},
}

func coldRows(b *bench) []row {
	var rows []row
	step := func(name string, fn func()) {
		crashes, _ := b.coldFigures()
		b.EachServer(func(_, _, _ string, s *model.Server) { s.MaxColdInFlight = 0 })
		fn()
		s := world.Summarise(b.runLoad(0.7, 15*time.Second))
		after, maxColdLoad := b.coldFigures()
		rows = append(rows, row{name, fmt.Sprint(after - crashes), fmt.Sprint(maxColdLoad), formatMs(s.P99), fmt.Sprint(s.Failed + s.Refused + s.Partial)})
	}
	step("one restarts cold", func() { b.Server("main", 0, 0).Restart() })
	step("three restart cold at once", func() {
		for g := range 3 {
			b.Server("main", g+1, 1).Restart()
		}
	})
	step("one turns cold unannounced", func() { b.Server("main", 5, 2).MakeCold() })
	return rows
}

func drainRows(b *bench) []row {
	const load = 0.7 * 2 / 3
	dc := b.Config.DataCentres[1]
	skip := map[int]bool{}
	var rows []row
	measure := func(name string, last string, d time.Duration) {
		before, _ := b.coldFigures()
		s := world.Summarise(b.RunLoad(world.Load{Route: "main", Rate: load * b.capacity, Duration: d, Skip: skip}))
		after, _ := b.coldFigures()
		rows = append(rows, row{name, formatMs(s.P99), fmt.Sprint(s.Failed + s.Refused + s.Partial), last, fmt.Sprint(after - before)})
	}
	measure("before", "-", 10*time.Second)
	b.SetDrained(dc, true)
	b.WriteTables()
	edit := time.Now()
	measure("out", "-", 15*time.Second)
	last := 0.0
	b.EachServer(func(_, serverDC, _ string, s *model.Server) {
		if serverDC == dc {
			last = max(last, s.LastAdmission().Sub(edit).Seconds())
			s.MakeCold()
		}
	})
	rows[1][3] = fmt.Sprintf("%.1f", last)
	b.SetDrained(dc, false)
	b.WriteTables()
	measure("back, cold", "-", 20*time.Second)
	return rows
}

// recovery returns the number of seconds, counted from the given time, after which the
// p99 latency of every further second is at or below bound.
func recovery(outcomes []world.Outcome, from time.Time, bound time.Duration) float64 {
	bySecond := map[int][]time.Duration{}
	last := 0
	for _, o := range outcomes {
		if s := int(o.SentAt.Sub(from).Seconds()); s >= 0 {
			bySecond[s] = append(bySecond[s], o.Latency)
		}
	}
	for s, list := range bySecond {
		slices.Sort(list)
		if list[int(0.99*float64(len(list)-1))] > bound {
			last = max(last, s+1)
		}
	}
	return float64(last)
}

func hostRows(b *bench) []row {
	steady := world.Summarise(b.runLoad(0.5, 10*time.Second))
	var rows []row
	step := func(name string, fn func()) {
		start := time.Now()
		time.AfterFunc(2*time.Second, fn)
		outcomes := b.runLoad(0.5, 20*time.Second)
		s := world.Summarise(outcomes)
		rows = append(rows, row{name, formatMs(s.P99), formatMs(s.P999), fmt.Sprint(s.Failed + s.Refused + s.Partial), fmt.Sprintf("%.0f", recovery(outcomes, start.Add(2*time.Second), 2*steady.P99))})
	}
	step("all open connections silent", b.SilenceConnections)
	step("a daemon cut off for 10 s", func() {
		b.SetIsolated(6, true)
		time.AfterFunc(10*time.Second, func() { b.SetIsolated(6, false) })
	})
	step("a daemon killed", func() { b.Kill(7) })
	return rows
}

func storeRows(b *bench) []row {
	var rows []row
	measure := func(name string, inject, repair func()) {
		inject()
		reverts, stop := b.watchReverts()
		before := b.Host(0).Daemon.Status().Generation
		start := time.Now()
		outcomes := make(chan []world.Outcome)
		go func() { outcomes <- b.runLoad(0.2, 20*time.Second) }()
		go b.WriteTables()
		if repair != nil {
			time.Sleep(5 * time.Minute)
			repair()
			start = time.Now()
		}
		allUpdated := b.waitGeneration(before+1, 2*time.Minute)
		s := world.Summarise(<-outcomes)
		close(stop)
		rows = append(rows, row{name, fmt.Sprintf("%.1f", allUpdated.Sub(start).Seconds()), fmt.Sprint(<-reverts), fmt.Sprint(s.Failed + s.Refused + s.Partial)})
	}
	measure("in order", func() {}, nil)
	measure("slow, 400 ms a call", func() { b.Store.SetFaults(objects.Faults{Delay: 400 * time.Millisecond}) }, nil)
	measure("every second answer of a write lost", func() { b.Store.SetFaults(objects.Faults{LoseReplyEvery: 2}) }, nil)
	measure("down 5 min (time after it is back)", func() { b.Store.SetFaults(objects.Faults{Down: true}) }, func() { b.Store.SetFaults(objects.Faults{}) })
	return rows
}

// waitGeneration waits until every host has at least generation g, but no longer than
// limit. It returns the time at which the wait ended.
func (b *bench) waitGeneration(g uint64, limit time.Duration) time.Time {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		have := 0
		for i := range b.Config.Daemons {
			if b.Host(i).Daemon.Status().Generation >= g {
				have++
			}
		}
		if have == b.Config.Daemons {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Now()
}

// watchReverts counts the times that a host reports a generation lower than an earlier
// one. When the returned stop channel is closed, it sends the count on the returned count
// channel.
func (b *bench) watchReverts() (<-chan int, chan struct{}) {
	count, stop := make(chan int, 1), make(chan struct{})
	go func() {
		reverts := 0
		highest := make([]uint64, b.Config.Daemons)
		for {
			for i := range highest {
				g := b.Host(i).Daemon.Status().Generation
				if g < highest[i] {
					reverts++
				}
				highest[i] = max(highest[i], g)
			}
			select {
			case <-stop:
				count <- reverts
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return count, stop
}

func overloadRows(b *bench) []row {
	b.AddRoute(map[string]any{"name": "high", "pool": "main", "idempotent": true, "partial": true, "priority": "high", "timeout": "1s"})
	b.AddRoute(map[string]any{"name": "low", "pool": "main", "idempotent": true, "partial": true, "priority": "low", "timeout": "1s"})
	b.WriteTables()
	time.Sleep(5 * time.Second)
	phase := func(name string, share float64, d time.Duration) row {
		runsBefore := b.executedRequests()
		high, low := make(chan []world.Outcome), make(chan []world.Outcome)
		go func() { high <- b.RunLoad(world.Load{Route: "high", Rate: 0.2 * share * b.capacity, Duration: d}) }()
		go func() { low <- b.RunLoad(world.Load{Route: "low", Rate: 0.8 * share * b.capacity, Duration: d}) }()
		h, l := <-high, <-low
		sh, sl := world.Summarise(h), world.Summarise(l)
		goodput := float64(sh.Whole+sl.Whole) / d.Seconds() / b.capacity
		return row{
			name, fmt.Sprintf("%.2f", goodput), formatPercent(float64(sh.Whole) / float64(sh.Queries)), formatPercent(float64(sl.Whole) / float64(sl.Queries)),
			fmt.Sprint(sh.Refused + sl.Refused), fmt.Sprint(sh.Failed + sl.Failed), fmt.Sprint(falseRefusals(h, l, b.executedRequests()-runsBefore, b.Config.Pools[0].Groups)),
		}
	}
	return []row{phase("during", 2, 60*time.Second), phase("after", 0.5, 15*time.Second)}
}

// executedRequests returns the number of requests that the servers have executed since
// the start.
func (b *bench) executedRequests() int {
	n := 0
	b.EachServer(func(_, _, _ string, s *model.Server) { n += s.Runs })
	return n
}

// falseRefusals returns a lower bound for the number of requests that ran although their
// query was refused as "not run". A query with another outcome accounts for at most two
// runs in each group; the bound is the number of runs beyond that.
func falseRefusals(high, low []world.Outcome, runs, groups int) int {
	otherQueries := 0
	for _, o := range append(high, low...) {
		if o.Err == nil || o.Err.Outcome() != fault.NotRun {
			otherQueries++
		}
	}
	return max(runs-2*otherQueries*groups, 0)
}
