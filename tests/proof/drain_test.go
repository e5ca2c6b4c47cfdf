package proof

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/tests/standin/model"
	"github.com/godwithatch/godwithatch/tests/standin/world"
)

// drainLimit is the documented time within which a drained data centre or server stops
// receiving new requests.
const drainLimit = 3 * time.Second

// TestDrainedGetsNoNewWork drains a data centre by an edit of the tables, and a server
// that reports itself as draining. After drainLimit neither may receive a new request.
// Every query must be answered completely, also if the store goes down 1 s after the
// edit.
func TestDrainedGetsNoNewWork(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		dc := rapid.IntRange(0, 2).Draw(rt, "data centre")
		group, replica := rapid.IntRange(0, 2).Draw(rt, "group"), rapid.IntRange(0, 2).Draw(rt, "replica")
		storeDown := rapid.Bool().Draw(rt, "store down after the edit")
		rate := rapid.Float64Range(50, 250).Draw(rt, "rate")
		err := runInWorld(t, smallConfig(), func(w *world.World) error {
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
		time.AfterFunc(time.Second, func() { (injectedFault{Kind: "store down"}).begin(w) })
	}
	s := world.Summarise(w.RunLoad(world.Load{Route: "main", Rate: rate, Duration: 8 * time.Second}))
	if s.Whole != s.Queries {
		return fmt.Errorf("not every query was answered completely: %+v", s)
	}
	var problem error
	leaving := fmt.Sprintf("main-%d-%d", group, replica)
	w.EachServer(func(id, serverDC, _ string, s *model.Server) {
		if (serverDC == dc || id == leaving) && s.LastAdmission().Sub(edited) > drainLimit {
			problem = fmt.Errorf("server %s received a new request %s after it was drained", id, s.LastAdmission().Sub(edited))
		}
	})
	for i := range hostCount {
		if n := w.Host(i); n.DataCentre == dc && n.Daemon.Readiness().Ready {
			problem = fmt.Errorf("host %s of the drained data centre is still ready", n.ID)
		}
	}
	return problem
}

// TestRestartedServersBearTheirLoad restarts servers, which then have empty caches, while
// hosts are killed or cut off from all other hosts. No server may crash under the load
// that the hosts send.
func TestRestartedServersBearTheirLoad(t *testing.T) {
	checkColdServers(t, "server restarts", "kill", "freeze")
}

// TestTurnedColdServersBearTheirLoad also lets servers lose their caches without a
// restart, so that nothing announces the loss to the hosts. No server may crash under the
// load that the hosts send.
func TestTurnedColdServersBearTheirLoad(t *testing.T) {
	checkColdServers(t, "server restarts", "server cold", "kill", "freeze")
}

// TestServerTurnsColdAsAnotherRestarts replays a load under which servers crashed in 33
// of 40 runs before hosts had windows, the limits on a host's requests in flight to a
// server. A server loses its caches unannounced, and 56 ms later another replica of its
// group restarts. The load is then nearly twice what the group can still carry. The
// excess queries are lost in any case; a crash would also waste the time spent on the
// others.
func TestServerTurnsColdAsAnotherRestarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		cfg := smallConfig()
		cfg.Seed = seed + 1
		err := runInWorld(t, cfg, func(w *world.World) error {
			w.RunLoad(world.Load{Route: "main", Rate: 660, Duration: 3 * time.Second})
			scheduleFaults(w, []injectedFault{
				{Kind: "server cold", Duration: 2 * time.Second, Group: 1, Replica: 2},
				{Kind: "server restarts", At: 56 * time.Millisecond, Duration: 2 * time.Second, Group: 1},
			})
			w.RunLoad(world.Load{Route: "main", Rate: 660, Duration: 8 * time.Second})
			return checkNoOverloadCrash(w)
		})
		if err != nil {
			t.Errorf("seed %d: %v", cfg.Seed, err)
		}
	}
}

// checkNoOverloadCrash returns an error if a server crashed because of too many requests
// in flight.
func checkNoOverloadCrash(w *world.World) error {
	crashes := 0
	w.EachServer(func(_, _, _ string, s *model.Server) { crashes += s.OverloadCrashes })
	if crashes > 0 {
		return fmt.Errorf("servers crashed %d times under the load of the hosts", crashes)
	}
	return nil
}

// checkColdServers injects faults of the given kinds under load. It fails the test if a
// server crashed because of too many requests in flight.
func checkColdServers(t *testing.T, kinds ...string) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) injectedFault {
			return injectedFault{
				Kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
				At:       time.Duration(rapid.IntRange(0, 4000).Draw(t, "at ms")) * time.Millisecond,
				Duration: 2 * time.Second,
				Host:     rapid.IntRange(0, hostCount-1).Draw(t, "host"),
				Group:    rapid.IntRange(0, 2).Draw(t, "group"),
				Replica:  rapid.IntRange(0, 2).Draw(t, "choice"),
			}
		}), 1, 4).Draw(rt, "faults")
		rate := rapid.Float64Range(100, 700).Draw(rt, "rate")
		err := runInWorld(t, smallConfig(), func(w *world.World) error {
			w.RunLoad(world.Load{Route: "main", Rate: rate, Duration: 3 * time.Second})
			scheduleFaults(w, faults)
			w.RunLoad(world.Load{Route: "main", Rate: rate, Duration: 8 * time.Second})
			return checkNoOverloadCrash(w)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
