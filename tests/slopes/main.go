// Command slopes measures how the cost of each part of the system grows with its size. It
// runs the real code with fakes at the interfaces, fits a line through the measured
// costs, and prints both.
package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/peer"
	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// point is one measurement: the cost of a part of the system at a size of the part.
type point struct{ size, cost float64 }

// fit fits a line through the points by least squares. It returns the line's value at
// size 0 (base), its slope, and the largest residual as a share of the largest measured
// cost.
func fit(points []point) (base, slope, residual float64) {
	var n, sx, sy, sxx, sxy, highest float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.cost
		sxx += p.size * p.size
		sxy += p.size * p.cost
		highest = max(highest, p.cost)
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base = (sy - slope*sx) / n
	for _, p := range points {
		residual = max(residual, math.Abs(p.cost-base-slope*p.size)/highest)
	}
	return base, slope, residual
}

// printRow prints a table row with the points, the line fitted through them and the
// largest residual. unit is the unit of the cost, and per names the things whose number
// is the size.
func printRow(name, unit, per string, points []point) {
	base, slope, residual := fit(points)
	fmt.Printf("| %s | ", name)
	for _, p := range points {
		fmt.Printf("%.0f: %.4g; ", p.size, p.cost)
	}
	fmt.Printf("| %.4g + %.4g a %s | %s | %.0f %% |\n", base, slope, per, unit, 100*residual)
}

// secondsPerCall calls fn once to warm up, then makes the given number of calls and
// returns their mean time in seconds.
func secondsPerCall(calls int, fn func()) float64 {
	fn()
	start := time.Now()
	for range calls {
		fn()
	}
	return time.Since(start).Seconds() / float64(calls)
}

// liveHeapBytes runs the garbage collector and returns the number of bytes of live
// objects.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const groupsPerPool = 59

// tableDocuments returns a routes table and a pools table with the given number of
// servers, as JSON.
func tableDocuments(servers int) (routes, pools []byte) {
	type row = map[string]any
	var poolRows, routeRows []row
	for first := 0; first < servers; first += 3 * groupsPerPool {
		name := fmt.Sprintf("pool-%04d", first)
		var ups []row
		for i := first; i < min(first+3*groupsPerPool, servers); i++ {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 7000)
			ups = append(ups, row{"id": fmt.Sprintf("server-%05d", i), "address": address.String(), "data_centre": fmt.Sprintf("dc-%d", i%7)})
		}
		poolRows = append(poolRows, row{"name": name, "slots": 3, "connections": 30, "upstreams": ups})
		routeRows = append(routeRows, row{"name": "route-" + name, "pool": name, "idempotent": true, "partial": true})
	}
	routes, _ = json.Marshal(row{"routes": routeRows})
	pools, _ = json.Marshal(row{"pools": poolRows})
	return routes, pools
}

func newConfiguration(servers int) *table.Configuration {
	routes, pools := tableDocuments(servers)
	document, err := table.Encode(1, table.NewProvenance(1, 1, "w", "n"), routes, pools)
	if err != nil {
		panic(err)
	}
	c, _, err := table.Decode(document)
	if err != nil {
		panic(err)
	}
	return c
}

func newHosts(n int) []balance.Host {
	hosts := make([]balance.Host, n)
	for i := range hosts {
		hosts[i] = balance.NewHost(fmt.Sprintf("host-%04d", i), fmt.Sprintf("dc-%d", i%7))
	}
	return hosts
}

// newFleet returns a fleet that has the state of every server, and the view that the
// fleet builds.
func newFleet(c *table.Configuration, hosts []balance.Host) (*balance.Fleet, *balance.View) {
	f := balance.NewFleet(hosts[0].ID(), hosts[0].DataCentre(), balance.Policy{SubsetSize: 12})
	f.Build(c, hosts)
	for _, p := range c.Pools() {
		for i, u := range p.Upstreams() {
			holding := upstream.Holding{Snapshot: 41, Shard: i % groupsPerPool, Shards: groupsPerPool}
			f.ObserveState(u.ID(), upstream.NewState([]upstream.Holding{holding}, u.ID()+"-1", 0, false))
		}
	}
	return f, f.Build(c, hosts)
}

var serverCounts = []int{100, 500, 1000, 2500, 5000}

func main() {
	fmt.Printf("Measured on %d cores, %s.\n\n", runtime.NumCPU(), runtime.Version())
	fmt.Println("| part | measured, size: cost | fit | unit | largest residual |\n|---|---|---|---|---|")
	measureTables()
	measureViews()
	measureMembership()
	measureMoves()
	measureMessages()
	measureClaims()
	measureConnections()
}

func measureTables() {
	var size, decode, memory []point
	for _, n := range serverCounts {
		c := newConfiguration(n)
		size = append(size, point{float64(n), float64(len(c.Document()))})
		decode = append(decode, point{float64(n), 1e3 * secondsPerCall(3, func() { _, _, _ = table.Decode(c.Document()) })})
		before := liveHeapBytes()
		config := newConfiguration(n)
		memory = append(memory, point{float64(n), liveHeapBytes() - before})
		runtime.KeepAlive(config)
	}
	printRow("accepted object, size", "bytes", "server", size)
	printRow("accepted object, decoding", "ms", "server", decode)
	printRow("configuration, memory", "bytes", "server", memory)
}

func measureViews() {
	var build, memory, tick, rebuild, firstBuild []point
	for _, n := range serverCounts {
		c, hosts := newConfiguration(n), newHosts(950)
		before := liveHeapBytes()
		f, v := newFleet(c, hosts)
		memory = append(memory, point{float64(n), liveHeapBytes() - before})
		build = append(build, point{float64(n), 1e3 * secondsPerCall(1, func() { f.Build(c, hosts) })})
		tick = append(tick, point{float64(n), 1e6 * secondsPerCall(20, func() {
			v.UpdateReferenceLatencies()
			f.Tick(time.Now())
			for _, t := range f.Trackers() {
				t.TakeChanged()
			}
		})})
		runtime.KeepAlive(v)
	}
	printRow("view of 950 hosts, building again", "ms", "server", build)
	printRow("view and trackers, 950 hosts, memory", "bytes", "server", memory)
	printRow("fold of all servers, each 100 ms", "us", "server", tick)
	c := newConfiguration(2500)
	for _, n := range []int{8, 32, 128, 512, 950} {
		hosts := newHosts(n)
		firstBuild = append(firstBuild, point{float64(n), 1e3 * secondsPerCall(1, func() { balance.NewFleet(hosts[0].ID(), "dc-0", balance.Policy{SubsetSize: 12}).Build(c, hosts) })})
		f, _ := newFleet(c, hosts)
		rebuild = append(rebuild, point{float64(n), 1e3 * secondsPerCall(1, func() {
			f.Build(c, hosts[:n-1])
			f.Build(c, hosts)
		})})
	}
	printRow("view of 2,500 servers, building after a host restarted", "ms", "host", rebuild)
	printRow("view of 2,500 servers, the first building", "ms", "host", firstBuild)
}

// encodedSize returns the number of bytes of v encoded as CBOR.
func encodedSize(v any) float64 {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return float64(len(body))
}

func measureMessages() {
	var knowledge []point
	for _, n := range serverCounts {
		f, _ := newFleet(newConfiguration(n), newHosts(8))
		all := peer.Exchange{}
		for _, t := range f.Trackers() {
			all.Knowledge = append(all.Knowledge, t.Knowledge())
		}
		knowledge = append(knowledge, point{float64(n), encodedSize(all)})
	}
	printRow("all knowledge of servers, for a host that starts", "bytes", "server", knowledge)
}
