package measure

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/tests/standin/world"
)

func TestTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip("trial only")
	}
	start := time.Now()
	synctest.Test(t, func(t *testing.T) {
		w := world.New(world.Config{
			DataCentres: []string{"kingston", "montego-bay", "ocho-rios"}, Daemons: 8, OneWay: 1500 * time.Microsecond, Seed: 1,
			Pools: []world.Pool{{Name: "slot-finder", Groups: 10, Replicas: 3, Slots: 3, Connections: 30, Service: 10 * time.Millisecond, Connect: 6 * time.Millisecond, Snapshot: 41}},
		})
		if err := w.Settle(30 * time.Second); err != nil {
			t.Fatal(err)
		}
		w.Run(world.Load{Route: "slot-finder", Rate: 300, For: 10 * time.Second})
		for _, share := range []float64{0.5, 0.7, 0.85} {
			before := w.Counts()
			s := world.Summarise(w.Run(world.Load{Route: "slot-finder", Rate: 900 * share, For: 20 * time.Second}))
			after := w.Counts()
			fmt.Printf("%.2f %+v extra %.4f %+v\n", share, s, world.Extra(before, after), after)
		}
		w.Stop()
		time.Sleep(time.Minute)
	})
	fmt.Println("real", time.Since(start))
}
