package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/tests/standin/objects"
	"github.com/godwithatch/godwithatch/tests/standin/world"
)

// edit is one operator's change of both tables, sound or not.
type edit struct {
	At   time.Duration
	Dead bool
}

var edits = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) edit {
	return edit{
		At:   time.Duration(rapid.IntRange(0, 4000).Draw(t, "at ms")) * time.Millisecond,
		Dead: rapid.IntRange(0, 3).Draw(t, "dangling") == 0,
	}
}), 1, 6)

// generationModel is the oracle for the generations that one host reads: they
// never go back.
var generationModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		return output.(uint64) >= state.(uint64), output
	},
}

// TestConfigurationNeverReverts proves that racing operators, lost answers,
// kills and cuts never take a configuration back on a host, and that all hosts
// agree within the stated 5 s once nothing fails any more.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		plan, faults := edits.Draw(rt, "edits"), disturbances.Draw(rt, "faults")
		if err := inWorld(t, small(), func(w *world.World) error { return checkConfiguration(w, plan, faults) }); err != nil {
			rt.Fatal(err)
		}
	})
}

func checkConfiguration(w *world.World, plan []edit, faults []disturbance) error {
	befall(w, faults)
	var wg sync.WaitGroup
	for n, e := range plan {
		wg.Go(func() {
			time.Sleep(e.At)
			pool := "main"
			if e.Dead {
				pool = "nowhere"
			}
			w.WriteObject("routes", map[string]any{"routes": []map[string]any{{"name": fmt.Sprint("r", n), "pool": pool, "idempotent": true}}})
		})
	}
	histories := make([][]porcupine.Operation, daemons)
	nodes := make([]*world.Host, daemons)
	for range 900 {
		for i := range daemons {
			n := w.Host(i)
			if n != nodes[i] {
				nodes[i], histories[i] = n, nil
			}
			now := time.Now().UnixNano()
			histories[i] = append(histories[i], porcupine.Operation{Call: now, Output: n.Daemon.Status().Generation, Return: now})
		}
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	for i, h := range histories {
		if !porcupine.CheckOperations(generationModel, h) {
			return fmt.Errorf("host %d went back to an older generation", i)
		}
	}
	w.Store.SetFaults(objects.Faults{})
	w.WriteObject("routes", map[string]any{"routes": []map[string]any{{"name": "last", "pool": "main", "idempotent": true}}})
	time.Sleep(5 * time.Second)
	for i := range daemons {
		if row, ok := w.Host(i).Daemon.Route("last"); !ok || row == nil {
			return fmt.Errorf("host %d has not the last configuration after 5 s: %+v", i, w.Host(i).Daemon.Status())
		}
	}
	return nil
}

// TestStartDuringOutage proves that a host that starts while the store is down
// takes the configuration from its peers, which go on probing a lost host.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	err := inWorld(t, small(), func(w *world.World) error {
		before := w.Host(0).Daemon.Status().Generation
		w.Store.SetFaults(objects.Faults{Down: true})
		w.Kill(1)
		time.Sleep(3 * time.Second)
		w.StartHost(1)
		time.Sleep(5 * time.Second)
		if s := w.Host(1).Daemon.Status(); s.Generation != before || !s.Readiness.Ready {
			return fmt.Errorf("started during an outage: %+v", s)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
