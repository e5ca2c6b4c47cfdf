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

var perKind = flag.Int("moves", 25, "moves of each kind")

const (
	moveLength = 60 * time.Second
	moveRate   = 60
	laterAfter = 25 * time.Second
)

// moveKind is a nature of the new version.
type moveKind struct {
	name   string
	bad    bool
	faults model.Faults
	// after is when the fault begins, after the start of the move.
	after time.Duration
	// restart lets new servers restart cold during the move.
	restart bool
}

var moveKinds = []moveKind{
	{name: "good"},
	{name: "good, all servers 10 % slower", faults: model.Faults{Slowdown: 1.1}},
	{name: "good, three servers restart cold during the move", restart: true},
	{name: "good, low traffic route", faults: model.Faults{}},
	{name: "fails half at once", bad: true, faults: model.Faults{FailRate: 0.5}},
	{name: "fails half later", bad: true, faults: model.Faults{FailRate: 0.5}, after: laterAfter},
	{name: "3 times slower at once", bad: true, faults: model.Faults{Slowdown: 3}},
	{name: "3 times slower later", bad: true, faults: model.Faults{Slowdown: 3}, after: laterAfter},
	{name: "5 times slower under load", bad: true, faults: model.Faults{Slowdown: 5, AboveInFlight: 1}},
	{name: "fails on one route", bad: true, faults: model.Faults{FailRate: 0.5, Route: "desk"}},
	{name: "slow on one route", bad: true, faults: model.Faults{Slowdown: 3, Route: "desk"}},
	{name: "fails half later, with cold restarts", bad: true, faults: model.Faults{FailRate: 0.5}, after: laterAfter, restart: true},
}

// moveResult is the end of one move.
type moveResult struct {
	state        move.State
	reason       string
	took         float64
	toBad        float64
	lastAfter    float64
	recognisedIn float64
	lost         int
}

func runMove(kind moveKind, seed uint64) (moveResult, error) {
	pool := world.Pool{Name: "main", Groups: 4, Replicas: 3, Slots: 3, Connections: 30, MeanServiceTime: service, ConnectTime: 6 * time.Millisecond, Snapshot: 41}
	next := pool
	next.Name, next.StartsCold = "next", true
	w := world.New(world.Config{
		DataCentres: deployments[0].config.DataCentres, Daemons: daemons, OneWayLatency: 1500 * time.Microsecond, Seed: seed,
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
	w.SetMoves(map[string]any{"id": "m", "from": "main", "to": "next", "start": start, "deadline": start.Add(moveLength)})
	w.WriteTables()
	faults := func() {
		w.EachServer(func(_, _, name string, s *model.Server) {
			if name == "next" {
				s.SetFaults(kind.faults)
			}
		})
	}
	if kind.after == 0 {
		faults()
	} else {
		time.AfterFunc(kind.after, faults)
	}
	if kind.restart {
		time.AfterFunc(laterAfter-5*time.Second, func() {
			for g := range 3 {
				w.Server("next", g, g).Restart()
			}
		})
	}
	return observeMove(w, kind, start), nil
}

// observeMove loads both routes until the deadline and watches the move.
func observeMove(w *world.World, kind moveKind, start time.Time) moveResult {
	var r moveResult
	var recognised, finished time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Since(start) < moveLength+5*time.Second {
			for i := range daemons {
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
			results[i] = w.RunLoad(world.Load{Route: route, Rate: rate, Duration: moveLength + 3*time.Second})
		})
	}
	wg.Wait()
	<-done
	r.took = finished.Sub(start).Seconds()
	r.recognisedIn = recognised.Sub(start.Add(kind.after)).Seconds()
	for _, outcomes := range results {
		s := world.Summarise(outcomes)
		r.lost += s.Failed + s.Refused + s.Partial
		toBad, all := 0, 0
		for _, o := range outcomes {
			isNew := o.Pool == "next"
			if recognised.IsZero() || o.SentAt.Before(recognised) {
				all++
				if isNew && o.SentAt.After(start.Add(kind.after)) {
					toBad++
				}
			}
			if isNew && !recognised.IsZero() {
				r.lastAfter = max(r.lastAfter, o.SentAt.Sub(recognised).Seconds())
			}
		}
		r.toBad = max(r.toBad, float64(toBad)/float64(max(all, 1)))
	}
	return r
}

// measureMoves runs every kind of move and returns the table.
func measureMoves(t *testing.T) string {
	var mu sync.Mutex
	results := map[string][]moveResult{}
	t.Run("moves", func(t *testing.T) {
		for _, kind := range moveKinds {
			for n := range *perKind {
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
	fmt.Fprintf(&b, "\n## Moves of %s, two routes at %d queries/s\n\n", moveLength, moveRate)
	b.WriteString("| new version | moves | done in time | taken back | median time to the end, s | median time from the fault to its recognition, s | share of a route's queries that met the fault before its recognition, worst | last query on it after the recognition, worst, s | lost |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, kind := range moveKinds {
		var done, back, lost int
		var took, recognised []float64
		var share, last float64
		for _, r := range results[kind.name] {
			switch r.state {
			case move.Done:
				done++
			case move.RolledBack:
				back++
			}
			took = append(took, r.took)
			recognised = append(recognised, r.recognisedIn)
			share, last, lost = max(share, r.toBad), max(last, r.lastAfter), lost+r.lost
			if (kind.bad && r.state != move.RolledBack) || (!kind.bad && r.state != move.Done) {
				t.Logf("%s ended %s: %s", kind.name, r.state, r.reason)
			}
		}
		bad := []string{"-", "-", "-"}
		if kind.bad {
			bad = []string{fmt.Sprintf("%.1f", median(recognised)), percent(share), fmt.Sprintf("%.2f", last)}
		}
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %.1f | %s | %d |\n", kind.name, len(results[kind.name]), done, back, median(took), strings.Join(bad, " | "), lost)
	}
	return b.String()
}
