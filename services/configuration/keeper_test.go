package configuration

import (
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/services/table"
)

const (
	routesText = `{"routes":[{"name":"r","pool":"p","idempotent":true}]}`
	poolsText  = `{"pools":[{"name":"p","slots":3,"connections":30,"upstreams":[{"id":"u","address":"127.0.0.1:1","data_centre":"d"}]}]}`
)

// TestKeeperGenerationNeverDecreases offers accepted objects of different generations in
// any order, some of them concurrently. The generation in force must never decrease.
func TestKeeperGenerationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		generations := rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 30).Draw(rt, "generations")
		var keeper Keeper
		var mu sync.Mutex
		highest, problem := uint64(0), error(nil)
		var wg sync.WaitGroup
		for _, g := range generations {
			document, err := table.Encode(g, table.NewProvenance(g, g, "w", "n"), []byte(routesText), []byte(poolsText))
			if err != nil {
				rt.Fatal(err)
			}
			offer := func() {
				if _, err := keeper.Offer(document, "test"); err != nil {
					problem = err
				}
			}
			if g%3 == 0 {
				wg.Go(offer)
				continue
			}
			offer()
			mu.Lock()
			highest = max(highest, g)
			if now := keeper.Generation(); now < highest {
				problem = fmt.Errorf("generation %d is in force after generation %d was offered", now, highest)
			}
			mu.Unlock()
		}
		wg.Wait()
		if problem != nil {
			rt.Fatal(problem)
		}
	})
}
