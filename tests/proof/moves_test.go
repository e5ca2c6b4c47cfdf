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
	moveLength = 60 * time.Second
	// stopLimit is the stated time after which a version whose fault was
	// recognised gets no query.
	stopLimit = 3 * time.Second
)

// version is the nature of the new pool of a move.
type version struct {
	Faults    model.Faults
	After     time.Duration
	StoreDown bool
	Kill      bool
}

func (v version) isBad() bool { return v.Faults != (model.Faults{}) }

var newVersions = rapid.Custom(func(t *rapid.T) version {
	return version{
		Faults: rapid.SampledFrom([]model.Faults{
			{}, {}, {FailRate: 0.5}, {FailRate: 1}, {Slowdown: 4}, {FailRate: 0.5, Route: "desk"},
		}).Draw(t, "faults"),
		After:     time.Duration(rapid.IntRange(0, 20).Draw(t, "after s")) * time.Second,
		StoreDown: rapid.Bool().Draw(t, "store down throughout"),
		Kill:      rapid.Bool().Draw(t, "a host dies"),
	}
})

// TestMoves proves that good versions are done in time, that bad ones are taken
// back, also while the store is down, and that a version gets no query 3 s after
// its fault was recognised.
func TestMoves(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		v := newVersions.Draw(rt, "version")
		cfg := small()
		next := cfg.Pools[0]
		next.Name, next.StartsCold = "next", true
		cfg.Pools = append(cfg.Pools, next)
		if err := inWorld(t, cfg, func(w *world.World) error { return checkMove(w, v) }); err != nil {
			rt.Fatal(err)
		}
	})
}

func checkMove(w *world.World, v version) error {
	w.AddRoute(map[string]any{"name": "desk", "pool": "main", "idempotent": true, "partial": true, "timeout": "1s"})
	start := time.Now()
	w.SetMoves(map[string]any{"id": "m", "from": "main", "to": "next", "start": start, "deadline": start.Add(moveLength)})
	w.WriteTables()
	time.AfterFunc(v.After, func() {
		w.EachServer(func(_, _, pool string, s *model.Server) {
			if pool == "next" {
				s.SetFaults(v.Faults)
			}
		})
	})
	if v.StoreDown {
		time.AfterFunc(3*time.Second, func() { (disturbance{Kind: "store down"}).begin(w) })
	}
	if v.Kill {
		time.AfterFunc(10*time.Second, func() { w.Kill(daemons - 1) })
	}
	recognised := make(chan time.Time, 1)
	go func() { recognised <- awaitStop(w) }()
	results := make(chan []world.Outcome, 2)
	for _, route := range []string{"main", "desk"} {
		go func() { results <- w.RunLoad(world.Load{Route: route, Rate: 50, Duration: moveLength}) }()
	}
	outcomes := append(<-results, <-results...)
	state := stateOf(w)
	stopped := <-recognised
	switch {
	case v.isBad() && state != move.RolledBack:
		return fmt.Errorf("a bad version ended %s", state)
	case !v.isBad() && state != move.Done:
		return fmt.Errorf("a good version ended %s", state)
	}
	for _, o := range outcomes {
		if !stopped.IsZero() && o.Pool == "next" && o.SentAt.Sub(stopped) > stopLimit {
			return fmt.Errorf("a query went to the bad version %s after its fault was recognised", o.SentAt.Sub(stopped))
		}
	}
	return nil
}

// awaitStop returns when a host first stopped the move, or zero.
func awaitStop(w *world.World) time.Time {
	for end := time.Now().Add(moveLength); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range daemons {
			for _, m := range w.Host(i).Daemon.Status().Moves {
				if m.Reason != "" {
					return time.Now()
				}
			}
		}
	}
	return time.Time{}
}

func stateOf(w *world.World) move.State {
	for _, m := range w.Host(0).Daemon.Status().Moves {
		return m.State
	}
	return move.Waiting
}
