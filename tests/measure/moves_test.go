package measure

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/services/move"
	"github.com/godwithatch/godwithatch/tests/standin/model"
	"github.com/godwithatch/godwithatch/tests/standin/world"
)

var movesPerKind = flag.Int("moves", 25, "moves of each kind")

const (
	moveDuration = 60 * time.Second
	// moveRate is the load on each route, in queries per second.
	moveRate = 60
	// timeToLateFault is the time from the start of a move to the start of the fault, for
	// faults that do not exist from the start.
	timeToLateFault = 25 * time.Second
)

// moveKind describes the new version of a move. If isBad is set, its faults are such that
// the move must be rolled back.
type moveKind struct {
	name   string
	isBad  bool
	faults model.Faults
	// faultAfter is the time from the start of the move to the start of the faults.
	faultAfter time.Duration
	// restartsServers makes three servers of the new version restart with empty caches
	// during the move.
	restartsServers bool
}

var moveKinds = []moveKind{
	{name: "good"},
	{name: "good, all servers 10 % slower", faults: model.Faults{Slowdown: 1.1}},
	{name: "good, three servers restart cold during the move", restartsServers: true},
	{name: "good, low traffic route", faults: model.Faults{}},
	{name: "fails half at once", isBad: true, faults: model.Faults{FailRate: 0.5}},
	{name: "fails half later", isBad: true, faults: model.Faults{FailRate: 0.5}, faultAfter: timeToLateFault},
	{name: "3 times slower at once", isBad: true, faults: model.Faults{Slowdown: 3}},
	{name: "3 times slower later", isBad: true, faults: model.Faults{Slowdown: 3}, faultAfter: timeToLateFault},
	{name: "5 times slower under load", isBad: true, faults: model.Faults{Slowdown: 5, AboveInFlight: 1}},
	{name: "fails on one route", isBad: true, faults: model.Faults{FailRate: 0.5, Route: "desk"}},
	{name: "slow on one route", isBad: true, faults: model.Faults{Slowdown: 3, Route: "desk"}},
	{name: "fails half later, with cold restarts", isBad: true, faults: model.Faults{FailRate: 0.5}, faultAfter: timeToLateFault, restartsServers: true},
}

// moveResult holds the final state of one move and the figures of its queries.
type moveResult struct {
	state  move.State
	reason string
	// duration is the time from the start to the end of the move, in seconds.
	duration float64
	// faultyShare is the share of a route's queries that went to the faulty version, of
	// those that were sent before a host recognised the fault. Of the two routes, the one
	// with the larger share counts.
	faultyShare float64
	// lastQueryDelay is the time from the recognition of the fault to the last query that
	// went to the new version, in seconds.
	lastQueryDelay float64
	// recognitionTime is the time from the start of the fault to its recognition by a
	// host, in seconds.
	recognitionTime float64
	// lost is the number of queries that failed, were refused or got a partial answer.
	lost int
}

// runMove starts a deployment of its own and runs one move to a new version of the given
// kind in it.
func runMove(kind moveKind, seed uint64) (moveResult, error) {
	pool := world.Pool{Name: "main", Groups: 4, Replicas: 3, Slots: 3, Connections: 30, MeanServiceTime: serviceTime, ConnectTime: 6 * time.Millisecond, Snapshot: 41}
	next := pool
	next.Name, next.StartsCold = "next", true
	w := world.New(world.Config{
		DataCentres: deployments[0].config.DataCentres, Daemons: hostCount, OneWayLatency: 1500 * time.Microsecond, Seed: seed,
		Pools: []world.Pool{pool, next},
	})
	w.AddRoute(map[string]any{"name": "desk", "pool": "main", "idempotent": true, "partial": true, "timeout": "1s"})
	w.WriteTables()
	defer func() {
		w.Stop()
		time.Sleep(time.Minute)
	}()
	if err := w.AwaitReady(time.Minute); err != nil {
		return moveResult{}, err
	}
	w.RunLoad(world.Load{Route: "main", Rate: moveRate, Duration: 6 * time.Second})
	start := time.Now()
	w.SetMoves(map[string]any{"id": "m", "from": "main", "to": "next", "start": start, "deadline": start.Add(moveDuration)})
	w.WriteTables()
	injectFaults := func() {
		w.EachServer(func(_, _, name string, s *model.Server) {
			if name == "next" {
				s.SetFaults(kind.faults)
			}
		})
	}
	if kind.faultAfter == 0 {
		injectFaults()
	} else {
		time.AfterFunc(kind.faultAfter, injectFaults)
	}
	if kind.restartsServers {
		time.AfterFunc(timeToLateFault-5*time.Second, func() {
			for g := range 3 {
				w.Server("next", g, g).Restart()
			}
		})
	}
	return observeMove(w, kind, start), nil
}

// observeMove sends queries on both routes until 3 s after the deadline of the move.
// Meanwhile it records when the first host reports why it stopped the move, and when the
// first host reports the end of the move.
func observeMove(w *world.World, kind moveKind, start time.Time) moveResult {
	var r moveResult
	var recognised, finished time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Since(start) < moveDuration+5*time.Second {
			for i := range hostCount {
				for _, m := range w.Host(i).Daemon.Status().Moves {
					if m.Reason != "" && recognised.IsZero() {
						recognised, r.reason = time.Now(), m.Reason
					}
					if (m.State == move.Done || m.State == move.RolledBack) && finished.IsZero() {
						finished, r.state = time.Now(), m.State
					}
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	var wg sync.WaitGroup
	results := make([][]world.Outcome, 2)
	for i, route := range []string{"main", "desk"} {
		rate := float64(moveRate)
		if strings.Contains(kind.name, "low traffic") && i == 1 {
			rate = 0.5
		}
		wg.Go(func() {
			results[i] = w.RunLoad(world.Load{Route: route, Rate: rate, Duration: moveDuration + 3*time.Second})
		})
	}
	wg.Wait()
	<-done
	r.duration = finished.Sub(start).Seconds()
	r.recognitionTime = recognised.Sub(start.Add(kind.faultAfter)).Seconds()
	for _, outcomes := range results {
		s := world.Summarise(outcomes)
		r.lost += s.Failed + s.Refused + s.Partial
		metFault, total := 0, 0
		for _, o := range outcomes {
			isNew := o.Pool == "next"
			if recognised.IsZero() || o.SentAt.Before(recognised) {
				total++
				if isNew && o.SentAt.After(start.Add(kind.faultAfter)) {
					metFault++
				}
			}
			if isNew && !recognised.IsZero() {
				r.lastQueryDelay = max(r.lastQueryDelay, o.SentAt.Sub(recognised).Seconds())
			}
		}
		r.faultyShare = max(r.faultyShare, float64(metFault)/float64(max(total, 1)))
	}
	return r
}

// measureMoves runs the moves of every kind and returns the section on moves of
// docs/MEASUREMENTS.md.
func measureMoves(t *testing.T) string {
	var mu sync.Mutex
	results := map[string][]moveResult{}
	t.Run("moves", func(t *testing.T) {
		for _, kind := range moveKinds {
			for n := range *movesPerKind {
				t.Run(kind.name, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						r, err := runMove(kind, uint64(n+1))
						if err != nil {
							t.Fatal(err)
						}
						mu.Lock()
						defer mu.Unlock()
						results[kind.name] = append(results[kind.name], r)
					})
				})
			}
		}
	})
	var b strings.Builder
	fmt.Fprintf(&b, "\n## Moves of %s, two routes at %d queries/s\n\n", moveDuration, moveRate)
	b.WriteString("| new version | moves | done in time | taken back | median time to the end, s | median time from the fault to its recognition, s | share of a route's queries that met the fault before its recognition, worst | last query on it after the recognition, worst, s | lost |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, kind := range moveKinds {
		var done, rolledBack, lost int
		var durations, recognitionTimes []float64
		var share, last float64
		for _, r := range results[kind.name] {
			switch r.state {
			case move.Done:
				done++
			case move.RolledBack:
				rolledBack++
			}
			durations = append(durations, r.duration)
			recognitionTimes = append(recognitionTimes, r.recognitionTime)
			share, last, lost = max(share, r.faultyShare), max(last, r.lastQueryDelay), lost+r.lost
			if (kind.isBad && r.state != move.RolledBack) || (!kind.isBad && r.state != move.Done) {
				t.Logf("%s ended %s: %s", kind.name, r.state, r.reason)
			}
		}
		faultColumns := []string{"-", "-", "-"}
		if kind.isBad {
			faultColumns = []string{fmt.Sprintf("%.1f", median(recognitionTimes)), formatPercent(share), fmt.Sprintf("%.2f", last)}
		}
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %.1f | %s | %d |\n", kind.name, len(results[kind.name]), done, rolledBack, median(durations), strings.Join(faultColumns, " | "), lost)
	}
	return b.String()
}
