// Package proof tests the documented guarantees with randomised stateful tests. Real
// daemons run against small fakes, under the fake clock of testing/synctest, and simple
// oracles check the daemons' behaviour.
package proof

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/tests/standin/model"
	"github.com/godwithatch/godwithatch/tests/standin/objects"
	"github.com/godwithatch/godwithatch/tests/standin/seed"
	"github.com/godwithatch/godwithatch/tests/standin/world"
)

func TestMain(m *testing.M) { seed.Main(m) }

// hostCount is the number of hosts in each test.
const hostCount = 4

// injectedFault is a fault that begins at At and ends Duration later. Its kind decides
// what it affects: a host, a server (by group and replica), the store or all connections
// to servers.
type injectedFault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Host     int
	Group    int
	Replica  int
}

var injectedFaults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) injectedFault {
	return injectedFault{
		Kind: rapid.SampledFrom([]string{
			"kill", "freeze", "cut", "silence", "store down", "store slow", "store loses answers",
			"server restarts", "server cold", "server slow", "server drains",
		}).Draw(t, "kind"),
		At:       time.Duration(rapid.IntRange(0, 4000).Draw(t, "at ms")) * time.Millisecond,
		Duration: time.Duration(rapid.IntRange(50, 4000).Draw(t, "for ms")) * time.Millisecond,
		Host:     rapid.IntRange(0, hostCount-1).Draw(t, "host"),
		Group:    rapid.IntRange(0, 2).Draw(t, "group"),
		Replica:  rapid.IntRange(0, 2).Draw(t, "choice"),
	}
}), 0, 5)

// scheduleFaults schedules the beginning and the end of each fault.
func scheduleFaults(w *world.World, list []injectedFault) {
	for _, d := range list {
		time.AfterFunc(d.At, func() { d.begin(w) })
		time.AfterFunc(d.At+d.Duration, func() { d.end(w) })
	}
}

func (d injectedFault) server(w *world.World) *model.Server {
	return w.Server("main", d.Group, d.Replica)
}

func (d injectedFault) begin(w *world.World) {
	switch d.Kind {
	case "kill":
		w.Kill(d.Host)
	case "freeze":
		w.SetIsolated(d.Host, true)
	case "cut":
		w.SetPartitioned(w.Host(d.Host).ID, w.Host((d.Host+1)%hostCount).ID, true)
	case "silence":
		w.SilenceConnections()
	case "store down":
		w.Store.SetFaults(objects.Faults{Down: true})
	case "store slow":
		w.Store.SetFaults(objects.Faults{Delay: 300 * time.Millisecond})
	case "store loses answers":
		w.Store.SetFaults(objects.Faults{LoseReplyEvery: 2})
	case "server restarts":
		d.server(w).Restart()
	case "server cold":
		d.server(w).MakeCold()
	case "server slow":
		d.server(w).SetFaults(model.Faults{Slowdown: 10})
	case "server drains":
		d.server(w).SetFaults(model.Faults{Draining: true})
	}
}

func (d injectedFault) end(w *world.World) {
	switch d.Kind {
	case "kill":
		w.StartHost(d.Host)
	case "freeze":
		w.SetIsolated(d.Host, false)
	case "cut":
		w.SetPartitioned(w.Host(d.Host).ID, w.Host((d.Host+1)%hostCount).ID, false)
	case "store down", "store slow", "store loses answers":
		w.Store.SetFaults(objects.Faults{})
	case "server slow", "server drains":
		d.server(w).SetFaults(model.Faults{})
	}
}

// smallConfig returns the configuration of a small deployment, with four hosts and one
// pool of nine servers.
func smallConfig() world.Config {
	return world.Config{
		DataCentres: []string{"kingston", "montego-bay", "ocho-rios"}, Daemons: hostCount, OneWayLatency: 1500 * time.Microsecond,
		Heartbeat: 300 * time.Millisecond, Seed: 1,
		Pools: []world.Pool{{Name: "main", Groups: 3, Replicas: 3, Slots: 3, Connections: 30, MeanServiceTime: 8 * time.Millisecond, ConnectTime: 6 * time.Millisecond, Snapshot: 41}},
	}
}

// runInWorld starts a deployment in a synctest bubble and waits until all hosts are
// ready. It then runs fn and returns the error of fn.
func runInWorld(t *testing.T, cfg world.Config, fn func(w *world.World) error) error {
	var err error
	synctest.Test(t, func(t *testing.T) {
		w := world.New(cfg)
		w.AddRoute(map[string]any{"name": "book", "pool": "main", "idempotent": false, "partial": false, "timeout": "1s"})
		w.WriteTables()
		if err = w.AwaitReady(time.Minute); err == nil {
			time.Sleep(3 * time.Second)
			err = fn(w)
		}
		w.Stop()
		time.Sleep(time.Minute)
	})
	return err
}
