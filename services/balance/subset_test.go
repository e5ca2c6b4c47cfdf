package balance

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/services/table"
)

// TestIncrementalSubsetsMatchRecomputed changes the set of hosts several times. Subsets that are
// updated after each change must equal subsets that are computed from scratch.
func TestIncrementalSubsetsMatchRecomputed(t *testing.T) {
	servers := map[string]*table.Upstream{}
	for i := range 20 {
		id := fmt.Sprint("server-", i)
		servers[id] = table.NewUpstream(id, netip.MustParseAddrPort("127.0.0.1:1"), fmt.Sprint("dc-", i%3), false)
	}
	rapid.Check(t, func(rt *rapid.T) {
		length := rapid.IntRange(0, 6).Draw(rt, "length")
		incremental := subsets{maxHosts: length}
		for range rapid.IntRange(1, 8).Draw(rt, "changes") {
			var hosts []Host
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 15), 1, 12, rapid.ID[int]).Draw(rt, "hosts") {
				hosts = append(hosts, NewHost(fmt.Sprint("host-", n), fmt.Sprint("dc-", n%3)))
			}
			incremental.update(hosts, servers)
			recomputed := subsets{maxHosts: length}
			recomputed.update(hosts, servers)
			for id := range servers {
				if !reflect.DeepEqual(incremental.order(id), recomputed.order(id)) {
					rt.Fatalf("server %s: incremental %v, recomputed %v", id, incremental.order(id), recomputed.order(id))
				}
			}
		}
	})
}
