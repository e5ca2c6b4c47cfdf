package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/tests/standin/model"
	"github.com/godwithatch/godwithatch/tests/standin/world"
)

// One server of each group is slow, so that the hosts measure it with copies of queries. A
// query that crashes the servers that run it must not be copied.
func TestCrashingQueryIsNotCopiedToSlowServer(t *testing.T) {
	t.Parallel()
	err := runInWorld(t, smallConfig(), func(w *world.World) error {
		for group := range 3 {
			w.Server("main", group, 1).SetFaults(model.Faults{Slowdown: 20})
		}
		w.RunLoad(world.Load{Route: "main", Rate: 200, Duration: 3 * time.Second})
		for group := range 3 {
			for replica := range 3 {
				s := w.Server("main", group, replica)
				faults := model.Faults{CrashPayload: "poison"}
				if replica == 1 {
					faults.Slowdown = 20
				}
				s.SetFaults(faults)
			}
		}
		for i := range 20 {
			// The probes of a slow server are a second apart.
			time.Sleep(5 * time.Second)
			payload := fmt.Sprintf(`{"poison":%d}`, i)
			_, _ = w.Submit(i%hostCount, "main", "", payload, time.Second)
			for group := range 3 {
				crashed := 0
				for replica := range 3 {
					if w.Server("main", group, replica).IsDown() {
						crashed++
					}
				}
				if crashed > 1 {
					return fmt.Errorf("query %d crashed %d servers of group %d", i, crashed, group)
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
