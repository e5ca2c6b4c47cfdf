// Package proof holds the proofs of the promises: stateful fuzzing of real
// daemons on small fakes, under the paused clock, against simple oracles.
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

// daemons is the number of hosts in each proof.
const daemons = 4

// disturbance is one fault that befalls a world, and its end.
type disturbance struct {
	Kind   string
	At     time.Duration
	For    time.Duration
	Host   int
	Group  int
	Choice int
}

var disturbances = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) disturbance {
	return disturbance{
		Kind: rapid.SampledFrom([]string{
			"kill", "freeze", "cut", "silence", "store down", "store slow", "store loses answers",
			"server restarts", "server cold", "server slow", "server drains",
		}).Draw(t, "kind"),
		At:     time.Duration(rapid.IntRange(0, 4000).Draw(t, "at ms")) * time.Millisecond,
		For:    time.Duration(rapid.IntRange(50, 4000).Draw(t, "for ms")) * time.Millisecond,
		Host:   rapid.IntRange(0, daemons-1).Draw(t, "host"),
		Group:  rapid.IntRange(0, 2).Draw(t, "group"),
		Choice: rapid.IntRange(0, 2).Draw(t, "choice"),
	}
}), 0, 5)

// befall lets the disturbances happen and ends each after its time.
func befall(w *world.World, list []disturbance) {
	for _, d := range list {
		time.AfterFunc(d.At, func() { d.begin(w) })
		time.AfterFunc(d.At+d.For, func() { d.end(w) })
	}
}

func (d disturbance) server(w *world.World) *model.Server { return w.Server("main", d.Group, d.Choice) }

func (d disturbance) begin(w *world.World) {
	switch d.Kind {
	case "kill":
		w.Kill(d.Host)
	case "freeze":
		w.SetIsolated(d.Host, true)
	case "cut":
		w.SetPartitioned(w.Host(d.Host).ID, w.Host((d.Host+1)%daemons).ID, true)
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

func (d disturbance) end(w *world.World) {
	switch d.Kind {
	case "kill":
		w.StartHost(d.Host)
	case "freeze":
		w.SetIsolated(d.Host, false)
	case "cut":
		w.SetPartitioned(w.Host(d.Host).ID, w.Host((d.Host+1)%daemons).ID, false)
	case "store down", "store slow", "store loses answers":
		w.Store.SetFaults(objects.Faults{})
	case "server slow", "server drains":
		d.server(w).SetFaults(model.Faults{})
	}
}

// small is a small deployment for proofs.
func small() world.Config {
	return world.Config{
		DataCentres: []string{"kingston", "montego-bay", "ocho-rios"}, Daemons: daemons, OneWayLatency: 1500 * time.Microsecond,
		Heartbeat: 300 * time.Millisecond, Seed: 1,
		Pools: []world.Pool{{Name: "main", Groups: 3, Replicas: 3, Slots: 3, Connections: 30, MeanServiceTime: 8 * time.Millisecond, ConnectTime: 6 * time.Millisecond, Snapshot: 41}},
	}
}

// inWorld runs fn on a settled world in a bubble and returns its error.
func inWorld(t *testing.T, cfg world.Config, fn func(w *world.World) error) error {
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
