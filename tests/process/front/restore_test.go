package front

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/tests/standin/metadata"
	"github.com/godwithatch/godwithatch/tests/standin/shardserver"
)

// The store is refused for a second and comes back with the content of two seconds before.
// The routes that the operator then adds must be served by all fronts in time (CONFIG: each
// change was ignored until the revisions of the store had passed the former ones).
func TestRoutesAreServedAfterStoreGoesBack(t *testing.T) {
	d := newFleet(t, 6)
	before := d.store.Copy()
	for n := range 40 {
		d.store.Put("servers", "i-busy", map[string]any{"sequence": n})
		time.Sleep(50 * time.Millisecond)
	}
	d.store.SetFault(metadata.Down)
	time.Sleep(time.Second)
	d.store.Restore(before)
	d.store.SetFault(metadata.None)
	time.Sleep(contactBound)
	for version := 2; version < 5; version++ {
		d.putConfig(version, routeOf(version))
		d.checkVersion(version)
	}
}

// newFleet returns a deployment with a server in each data centre and the given number of
// fronts, all ready.
func newFleet(t *testing.T, fronts int) *deployment {
	d := newDeployment(t)
	for dc := range dataCentres {
		id := fmt.Sprint("i-", dc)
		address := d.serve(fmt.Sprintf("127.0.3.%d:0", dc+1), shardserver.New(id))
		d.putServer(id, service(0), dataCentre(dc), address, time.Now().UnixMilli())
	}
	d.configure()
	d.startFronts(fronts)
	time.Sleep(time.Second)
	return d
}

// routeOf returns the name of the route that a version adds.
func routeOf(version int) string { return fmt.Sprint("v", version) }

// checkVersion waits for the bound and fails the test unless all fronts serve the route that
// the version has added.
func (d *deployment) checkVersion(version int) {
	d.t.Helper()
	time.Sleep(applyBound * time.Millisecond)
	for _, p := range d.fronts {
		if status, _ := ask(p, "/"+routeOf(version)+"/x", "r"); status != http.StatusOK {
			d.t.Errorf("%s: a route of version %d got %d, %d ms after its acknowledgement", p.name, version, status, applyBound)
		}
	}
}

func (d *deployment) beat(n int) {
	for range n {
		d.beats++
		d.store.Put("servers", "i-busy", map[string]any{"sequence": d.beats})
	}
}

// The store is refused for a second and comes back without its newest changes, of which as
// many are written again. The route that is added among them must be served by all fronts
// (CONFIG: fronts that read from another got nothing at the revision that they had).
func TestRoutesAreServedAfterStoreReachesFormerRevision(t *testing.T) {
	d := newFleet(t, 6)
	for i, lost := range []int{1, 10} {
		version := 2 + 2*i
		before := d.store.Copy()
		d.beat(lost - 1)
		d.putConfig(version, routeOf(version))
		d.checkVersion(version)
		d.store.SetFault(metadata.Down)
		time.Sleep(time.Second)
		d.store.Restore(before)
		d.putConfig(version+1, routeOf(version+1))
		d.beat(lost - 1)
		d.store.SetFault(metadata.None)
		time.Sleep(contactBound)
		d.checkVersion(version + 1)
	}
}

// The store restarts within the pause between two watches of the configuration and comes back
// without its newest changes. A route that is added before the fronts reach it must be served
// (CONFIG: the next watch went over a new connection, after a revision of the lost changes).
func TestRoutesAreServedAfterStoreRestartsBetweenWatches(t *testing.T) {
	d := newFleet(t, 6)
	for i, delay := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond} {
		version := 2 + 2*i
		before := d.store.Copy()
		d.beat(4)
		d.putConfig(version, routeOf(version))
		time.Sleep(delay)
		d.restartStore(before, 20*time.Millisecond, func() {
			d.putConfig(version+1, routeOf(version+1))
			d.beat(10)
		})
		time.Sleep(contactBound)
		d.checkVersion(version + 1)
	}
}

// Losses in series: 1 to 21 changes are lost, some of which are written again, before or after
// the store answers, while a front is killed and started. The configuration gets a new version
// or, with another route, the lost one (CONFIG). GODWITHATCH_SEED and GODWITHATCH_LOSSES set the
// run.
func TestRoutesAreServedAfterSeriesOfLosses(t *testing.T) {
	seed, losses := envOr("GODWITHATCH_SEED", 1), envOr("GODWITHATCH_LOSSES", 3)
	random := rand.New(rand.NewPCG(seed, 1))
	d := newFleet(t, 8)
	version, route := 1, 1
	put := func() {
		route++
		d.putConfig(version, routeOf(route))
	}
	for n := range losses {
		before := d.store.Copy()
		lost := 1 + random.IntN(21)
		d.beat(lost - 1)
		version++
		put()
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		version += random.IntN(2)
		repeated := max(0, lost-1+random.IntN(5)-2)
		outage, isBackFirst := time.Duration(20+random.IntN(1700))*time.Millisecond, random.IntN(2) == 0
		killed := d.fronts[random.IntN(len(d.fronts))]
		if random.IntN(2) == 0 {
			killed.kill()
			d.start(killed)
		}
		t.Logf("loss %d: %d lost, %d repeated, away for %s, back first %t, version %d, route %d", n, lost, repeated, outage, isBackFirst, version, route+1)
		repeat := func() {
			put()
			d.beat(repeated)
		}
		if isBackFirst {
			d.restartStore(before, outage, func() {})
			repeat()
		} else {
			d.restartStore(before, outage, repeat)
		}
		time.Sleep(contactBound)
		d.checkVersion(route)
	}
}

// envOr returns the number in an environment variable, or n if there is none.
func envOr(name string, n uint64) uint64 {
	value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return n
	}
	return cmp.Or(value, n)
}
