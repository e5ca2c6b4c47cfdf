package proof

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/tests/standin/model"
	"github.com/godwithatch/godwithatch/tests/standin/world"
)

// drainLimit is the stated time after which a data centre or a server that is
// taken out gets no new work.
const drainLimit = 3 * time.Second

// TestDrainedGetsNoNewWork proves that a data centre that operators take out,
// and a server that leaves, get no new work after a few seconds, and that no
// answer is lost by it, also when the store goes down right after the edit.
func TestDrainedGetsNoNewWork(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		dc := rapid.IntRange(0, 2).Draw(rt, "data centre")
		group, replica := rapid.IntRange(0, 2).Draw(rt, "group"), rapid.IntRange(0, 2).Draw(rt, "replica")
		storeDown := rapid.Bool().Draw(rt, "store down after the edit")
		rate := rapid.Float64Range(50, 250).Draw(rt, "rate")
		err := inWorld(t, small(), func(w *world.World) error {
			return checkDrain(w, w.Config.DataCentres[dc], group, replica, storeDown, rate)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func checkDrain(w *world.World, dc string, group, replica int, storeDown bool, rate float64) error {
	w.RunLoad(world.Load{Route: "main", Rate: rate, Duration: 2 * time.Second})
	w.SetDrained(dc, true)
	w.WriteTables()
	w.Server("main", group, replica).SetFaults(model.Faults{Draining: true})
	edited := time.Now()
	if storeDown {
		time.AfterFunc(time.Second, func() { (disturbance{Kind: "store down"}).begin(w) })
	}
	s := world.Summarise(w.RunLoad(world.Load{Route: "main", Rate: rate, Duration: 8 * time.Second}))
	if s.Whole != s.Queries {
		return fmt.Errorf("answers were lost: %+v", s)
	}
	var problem error
	leaving := fmt.Sprintf("main-%d-%d", group, replica)
	w.EachServer(func(id, at, _ string, s *model.Server) {
		if (at == dc || id == leaving) && s.LastAdmission().Sub(edited) > drainLimit {
			problem = fmt.Errorf("%s got new work %s after it was taken out", id, s.LastAdmission().Sub(edited))
		}
	})
	for i := range daemons {
		if n := w.Host(i); n.DataCentre == dc && n.Daemon.Readiness().Ready {
			problem = fmt.Errorf("host %s of the drained data centre is still ready", n.ID)
		}
	}
	return problem
}

// TestRestartedServersBearTheirLoad proves that no server that restarts cold
// falls through our load, while hosts die and freeze.
func TestRestartedServersBearTheirLoad(t *testing.T) {
	checkCold(t, "server restarts", "kill", "freeze")
}

// TestTurnedColdServersBearTheirLoad wants the same of servers that turn cold
// unannounced.
func TestTurnedColdServersBearTheirLoad(t *testing.T) {
	checkCold(t, "server restarts", "server cold", "kill", "freeze")
}

// TestServerTurnsColdAsAnotherRestarts replays the load at which servers fell before
// hosts had windows, in 33 of 40 runs: a server turns cold unannounced 56 ms before
// another replica of its group restarts, at nearly twice the load left. More queries
// than the group can answer are lost; a fall would lose the others' time as well.
func TestServerTurnsColdAsAnotherRestarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		cfg := small()
		cfg.Seed = seed + 1
		err := inWorld(t, cfg, func(w *world.World) error {
			w.RunLoad(world.Load{Route: "main", Rate: 660, Duration: 3 * time.Second})
			befall(w, []disturbance{
				{Kind: "server cold", For: 2 * time.Second, Group: 1, Choice: 2},
				{Kind: "server restarts", At: 56 * time.Millisecond, For: 2 * time.Second, Group: 1},
			})
			w.RunLoad(world.Load{Route: "main", Rate: 660, Duration: 8 * time.Second})
			return fallen(w)
		})
		if err != nil {
			t.Errorf("seed %d: %v", cfg.Seed, err)
		}
	}
}

// fallen reports servers that fell through the hosts' load.
func fallen(w *world.World) error {
	falls := 0
	w.EachServer(func(_, _, _ string, s *model.Server) { falls += s.OverloadCrashes })
	if falls > 0 {
		return fmt.Errorf("%d servers fell through our load", falls)
	}
	return nil
}

func checkCold(t *testing.T, kinds ...string) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) disturbance {
			return disturbance{
				Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
				At:     time.Duration(rapid.IntRange(0, 4000).Draw(t, "at ms")) * time.Millisecond,
				For:    2 * time.Second,
				Host:   rapid.IntRange(0, daemons-1).Draw(t, "host"),
				Group:  rapid.IntRange(0, 2).Draw(t, "group"),
				Choice: rapid.IntRange(0, 2).Draw(t, "choice"),
			}
		}), 1, 4).Draw(rt, "faults")
		rate := rapid.Float64Range(100, 700).Draw(rt, "rate")
		err := inWorld(t, small(), func(w *world.World) error {
			w.RunLoad(world.Load{Route: "main", Rate: rate, Duration: 3 * time.Second})
			befall(w, faults)
			w.RunLoad(world.Load{Route: "main", Rate: rate, Duration: 8 * time.Second})
			return fallen(w)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
