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

// edit is one write of the routes table by an operator. If leavesDanglingReference is
// set, the table names a pool that does not exist.
type edit struct {
	At                      time.Duration
	leavesDanglingReference bool
}

var edits = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) edit {
	return edit{
		At:                      time.Duration(rapid.IntRange(0, 4000).Draw(t, "at ms")) * time.Millisecond,
		leavesDanglingReference: rapid.IntRange(0, 3).Draw(t, "dangling") == 0,
	}
}), 1, 6)

// generationModel is the oracle for the configuration generations that one host reports:
// a generation must not be lower than the one reported before it.
var generationModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		return output.(uint64) >= state.(uint64), output
	},
}

// TestConfigurationNeverReverts lets operators write the tables concurrently while store
// answers are lost, hosts are killed and the network is partitioned. No host may revert
// to an older configuration. Once no more faults occur, a last write must be in force on
// all hosts within the documented 5 s.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		plan, faults := edits.Draw(rt, "edits"), injectedFaults.Draw(rt, "faults")
		if err := runInWorld(t, smallConfig(), func(w *world.World) error { return checkConfiguration(w, plan, faults) }); err != nil {
			rt.Fatal(err)
		}
	})
}

func checkConfiguration(w *world.World, plan []edit, faults []injectedFault) error {
	scheduleFaults(w, faults)
	var wg sync.WaitGroup
	for n, e := range plan {
		wg.Go(func() {
			time.Sleep(e.At)
			pool := "main"
			if e.leavesDanglingReference {
				pool = "nowhere"
			}
			w.WriteObject("routes", map[string]any{"routes": []map[string]any{{"name": fmt.Sprint("r", n), "pool": pool, "idempotent": true}}})
		})
	}
	histories := make([][]porcupine.Operation, hostCount)
	hosts := make([]*world.Host, hostCount)
	for range 900 {
		for i := range hostCount {
			n := w.Host(i)
			if n != hosts[i] {
				hosts[i], histories[i] = n, nil
			}
			now := time.Now().UnixNano()
			histories[i] = append(histories[i], porcupine.Operation{Call: now, Output: n.Daemon.Status().Generation, Return: now})
		}
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	for i, h := range histories {
		if !porcupine.CheckOperations(generationModel, h) {
			return fmt.Errorf("host %d returned to an older generation", i)
		}
	}
	w.Store.SetFaults(objects.Faults{})
	w.WriteObject("routes", map[string]any{"routes": []map[string]any{{"name": "last", "pool": "main", "idempotent": true}}})
	time.Sleep(5 * time.Second)
	for i := range hostCount {
		if row, ok := w.Host(i).Daemon.Route("last"); !ok || row == nil {
			return fmt.Errorf("host %d does not have the last configuration after 5 s: %+v", i, w.Host(i).Daemon.Status())
		}
	}
	return nil
}

// TestStartDuringOutage kills a host while the store is down and starts it again 3 s
// later. The peers keep probing a host that they consider dead, so the host must get the
// configuration from them and become ready within 5 s.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	err := runInWorld(t, smallConfig(), func(w *world.World) error {
		before := w.Host(0).Daemon.Status().Generation
		w.Store.SetFaults(objects.Faults{Down: true})
		w.Kill(1)
		time.Sleep(3 * time.Second)
		w.StartHost(1)
		time.Sleep(5 * time.Second)
		if s := w.Host(1).Daemon.Status(); s.Generation != before || !s.Readiness.Ready {
			return fmt.Errorf("host that started during a store outage is not ready with the current configuration: %+v", s)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
