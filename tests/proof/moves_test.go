package proof

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/services/move"
	"github.com/godwithatch/godwithatch/tests/standin/model"
	"github.com/godwithatch/godwithatch/tests/standin/world"
)

const (
	moveDuration = 60 * time.Second
	// stopLimit is the documented time within which a faulty new version stops receiving
	// queries after a host has recognised the fault.
	stopLimit = 3 * time.Second
)

// newVersion describes the new pool of a move and the faults during the move. The servers
// of the new pool have Faults from FaultAfter on. If StoreDown is set, the store goes
// down 3 s after the start. If KillsHost is set, a host is killed 10 s after the start.
type newVersion struct {
	Faults     model.Faults
	FaultAfter time.Duration
	StoreDown  bool
	KillsHost  bool
}

func (v newVersion) isBad() bool { return v.Faults != (model.Faults{}) }

var newVersions = rapid.Custom(func(t *rapid.T) newVersion {
	return newVersion{
		Faults: rapid.SampledFrom([]model.Faults{
			{}, {}, {FailRate: 0.5}, {FailRate: 1}, {Slowdown: 4}, {FailRate: 0.5, Route: "desk"},
		}).Draw(t, "faults"),
		FaultAfter: time.Duration(rapid.IntRange(0, 20).Draw(t, "after s")) * time.Second,
		StoreDown:  rapid.Bool().Draw(t, "store down throughout"),
		KillsHost:  rapid.Bool().Draw(t, "a host dies"),
	}
})

// TestMoves moves a pool to a version with or without a fault, in some cases while the
// store is down. The move to a good version must be complete by the deadline, and the
// move to a bad version must be rolled back. A bad version must receive no query once 3 s
// have passed since a host recognised its fault.
func TestMoves(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		v := newVersions.Draw(rt, "version")
		cfg := smallConfig()
		next := cfg.Pools[0]
		next.Name, next.StartsCold = "next", true
		cfg.Pools = append(cfg.Pools, next)
		if err := runInWorld(t, cfg, func(w *world.World) error { return checkMove(w, v) }); err != nil {
			rt.Fatal(err)
		}
	})
}

func checkMove(w *world.World, v newVersion) error {
	w.AddRoute(map[string]any{"name": "desk", "pool": "main", "idempotent": true, "partial": true, "timeout": "1s"})
	start := time.Now()
	w.SetMoves(map[string]any{"id": "m", "from": "main", "to": "next", "start": start, "deadline": start.Add(moveDuration)})
	w.WriteTables()
	time.AfterFunc(v.FaultAfter, func() {
		w.EachServer(func(_, _, pool string, s *model.Server) {
			if pool == "next" {
				s.SetFaults(v.Faults)
			}
		})
	})
	if v.StoreDown {
		time.AfterFunc(3*time.Second, func() { (injectedFault{Kind: "store down"}).begin(w) })
	}
	if v.KillsHost {
		time.AfterFunc(10*time.Second, func() { w.Kill(hostCount - 1) })
	}
	stopTime := make(chan time.Time, 1)
	go func() { stopTime <- awaitStopReason(w) }()
	results := make(chan []world.Outcome, 2)
	for _, route := range []string{"main", "desk"} {
		go func() { results <- w.RunLoad(world.Load{Route: route, Rate: 50, Duration: moveDuration}) }()
	}
	outcomes := append(<-results, <-results...)
	state := moveState(w)
	stopped := <-stopTime
	switch {
	case v.isBad() && state != move.RolledBack:
		return fmt.Errorf("move to a bad version ended in state %s", state)
	case !v.isBad() && state != move.Done:
		return fmt.Errorf("move to a good version ended in state %s", state)
	}
	for _, o := range outcomes {
		if !stopped.IsZero() && o.Pool == "next" && o.SentAt.Sub(stopped) > stopLimit {
			return fmt.Errorf("bad version received a query %s after its fault was recognised", o.SentAt.Sub(stopped))
		}
	}
	return nil
}

// awaitStopReason waits until any host reports why it stopped the move, and returns the
// time of this report. It returns the zero time if no host reports a reason within
// moveDuration.
func awaitStopReason(w *world.World) time.Time {
	for end := time.Now().Add(moveDuration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range hostCount {
			for _, m := range w.Host(i).Daemon.Status().Moves {
				if m.Reason != "" {
					return time.Now()
				}
			}
		}
	}
	return time.Time{}
}

// moveState returns the state of the move that host 0 reports, or Waiting if host 0
// reports no move.
func moveState(w *world.World) move.State {
	for _, m := range w.Host(0).Daemon.Status().Moves {
		return m.State
	}
	return move.Waiting
}
