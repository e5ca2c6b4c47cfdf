// Package world runs real daemons in one process and replaces what they communicate with
// by small fakes: the upstream servers, the store and the network between hosts. It is
// meant for a testing/synctest bubble, where minutes of fake time pass in milliseconds.
package world

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/godwithatch/godwithatch/modules/setting"
	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/configuration"
	"github.com/godwithatch/godwithatch/services/daemon"
	"github.com/godwithatch/godwithatch/services/platform"
	"github.com/godwithatch/godwithatch/services/upstream"
	"github.com/godwithatch/godwithatch/tests/standin/model"
	"github.com/godwithatch/godwithatch/tests/standin/objects"
)

// Pool describes the servers of one pool.
type Pool struct {
	Name string
	// Groups is the number of shards. Each shard is held by a group of Replicas
	// servers.
	Groups   int
	Replicas int
	// Slots is the number of requests that a server executes at once.
	Slots int
	// Connections is the connection limit of each server in the pools table.
	Connections int
	// MeanServiceTime is the mean service time of a warm server.
	MeanServiceTime time.Duration
	// ConnectTime is the time to open a connection to a server.
	ConnectTime time.Duration
	// Snapshot is the number of the snapshot that the servers hold.
	Snapshot uint64
	// StartsCold makes the servers start cold.
	StartsCold bool
}

// Config describes a deployment.
type Config struct {
	// DataCentres are the names of the data centres. Daemon i is in the data centre with
	// the index i modulo their number.
	DataCentres []string
	Daemons     int
	// OneWayLatency is the network latency in one direction between two data centres.
	OneWayLatency time.Duration
	Pools         []Pool
	Policy        balance.Policy
	// Heartbeat is the heartbeat interval of the daemons. 0 means one second.
	Heartbeat time.Duration
	// Seed is the seed of the servers' random service times and of the load.
	Seed uint64
}

// Host is one host and its daemon.
type Host struct {
	Daemon *daemon.Daemon
	ID     string
	// DataCentre is the name of the host's data centre.
	DataCentre string
	stop       context.CancelFunc
	down       atomic.Bool
}

// World is a deployment whose daemons run in this process.
type World struct {
	Config Config
	Store  *objects.Objects

	mu sync.Mutex
	// hosts holds, by host ID, the host with its last started daemon. Each StartHost
	// after Kill stores a new Host.
	hosts map[string]*Host
	// hostIDs lists the IDs of the hosts in the order of their first start.
	hostIDs []string
	servers map[string]*server
	// partitions holds the pairs of host IDs between which the network is down, in
	// both orders.
	partitions map[[2]string]bool
	drained    map[string]bool
	// moves and routes are the moves and routes that the next WriteTables writes.
	moves   []map[string]any
	routes  []map[string]any
	stopped atomic.Bool
}

// server is the stand-in for an upstream server with its connections.
type server struct {
	*model.Server
	id, dataCentre string
	pool           Pool
	mu             sync.Mutex
	// idleConns holds the times at which the idle connections of each host were opened,
	// by host ID.
	idleConns map[string][]time.Time
	// silentSince is the time of the last SilenceConnections. Connections opened
	// before it deliver no data.
	silentSince time.Time
}

// New starts a deployment. It does not wait until the daemons are ready; AwaitReady does.
func New(cfg Config) *World {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = time.Second
	}
	w := &World{
		Config:     cfg,
		Store:      objects.New(),
		hosts:      map[string]*Host{},
		servers:    map[string]*server{},
		partitions: map[[2]string]bool{},
		drained:    map[string]bool{},
	}
	for _, p := range cfg.Pools {
		w.addPool(p)
	}
	w.WriteTables()
	var hosts []platform.HostEntry
	for i := range cfg.Daemons {
		hosts = append(hosts, platform.NewHostEntry(hostID(i), peerAddress(i), cfg.DataCentres[i%len(cfg.DataCentres)], false))
	}
	w.Store.SetHosts(hosts)
	for i := range cfg.Daemons {
		w.StartHost(i)
	}
	return w
}

func hostID(i int) string { return fmt.Sprintf("h%d", i) }

func peerAddress(i int) string { return fmt.Sprintf("127.1.0.%d:8082", i+1) }

func (w *World) addPool(p Pool) {
	n := 0
	for g := range p.Groups {
		for r := range p.Replicas {
			id := fmt.Sprintf("%s-%d-%d", p.Name, g, r)
			s := &server{id: id, pool: p, dataCentre: w.Config.DataCentres[(g+r)%len(w.Config.DataCentres)], idleConns: map[string][]time.Time{}}
			s.Server = model.New(model.Config{
				ID: id, Slots: p.Slots, QueueLength: 8 * p.Slots, MeanServiceTime: p.MeanServiceTime,
				Holdings:     []upstream.Holding{{Snapshot: p.Snapshot, Shard: g, Shards: p.Groups}},
				ColdSlowdown: 4, WarmupRequests: 60, ColdCapacity: 2, CrashAfter: 200 * time.Millisecond, RestartTime: 2 * time.Second,
				Seed: w.Config.Seed*1000 + uint64(n),
			})
			if p.StartsCold {
				s.MakeCold()
			}
			w.servers[id] = s
			n++
		}
	}
}

// Server returns the stand-in for one server of a pool.
func (w *World) Server(pool string, group, replica int) *model.Server {
	return w.servers[fmt.Sprintf("%s-%d-%d", pool, group, replica)].Server
}

// EachServer calls fn for each server, in no particular order.
func (w *World) EachServer(fn func(id, dc, pool string, s *model.Server)) {
	for id, s := range w.servers {
		fn(id, s.dataCentre, s.pool.Name, s.Server)
	}
}

// SilenceConnections makes the connections to servers that are open now stop delivering
// data. Connections that are opened later work.
func (w *World) SilenceConnections() {
	for _, s := range w.servers {
		s.mu.Lock()
		s.silentSince = time.Now()
		s.mu.Unlock()
	}
}

// AddRoute adds a route to the routes table that the next WriteTables writes.
func (w *World) AddRoute(row map[string]any) { w.routes = append(w.routes, row) }

// SetDrained sets whether a data centre is marked as drained in the pools table that the
// next WriteTables writes.
func (w *World) SetDrained(dc string, drained bool) { w.drained[dc] = drained }

// SetMoves replaces the moves in the pools table that the next WriteTables writes.
func (w *World) SetMoves(moves ...map[string]any) { w.moves = moves }

// WriteTables writes the routes table and the pools table to the store. The routes table
// has the routes of AddRoute and, for each pool, a route with the pool's name.
func (w *World) WriteTables() {
	routes := append([]map[string]any{}, w.routes...)
	pools := []map[string]any{}
	for i, p := range w.Config.Pools {
		routes = append(routes, map[string]any{"name": p.Name, "pool": p.Name, "idempotent": true, "partial": true, "timeout": "1s"})
		var rows []map[string]any
		for g := range p.Groups {
			for r := range p.Replicas {
				id := fmt.Sprintf("%s-%d-%d", p.Name, g, r)
				rows = append(rows, map[string]any{"id": id, "address": fmt.Sprintf("127.%d.%d.%d:7000", 10+i, g, r+1), "data_centre": w.servers[id].dataCentre})
			}
		}
		pools = append(pools, map[string]any{"name": p.Name, "slots": p.Slots, "connections": p.Connections, "upstreams": rows})
	}
	var dcs []map[string]any
	for name, d := range w.drained {
		dcs = append(dcs, map[string]any{"name": name, "drained": d})
	}
	w.WriteObject(configuration.RoutesObject, map[string]any{"routes": routes})
	w.WriteObject(configuration.PoolsObject, map[string]any{"pools": pools, "data_centres": dcs, "moves": w.moves})
}

// WriteObject writes an object to the store as an operator does: it replaces the version
// that it has just read, and retries every 100 ms until the write succeeds.
func (w *World) WriteObject(name string, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	for {
		old, _ := w.Store.Get(context.Background(), name)
		if _, err := w.Store.Put(context.Background(), name, body, old.Version()); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// StartHost starts the daemon of a host, either for the first time or after Kill. It
// starts none if the host's daemon is still running or the deployment was stopped, and
// then returns the host as it is.
func (w *World) StartHost(i int) *Host {
	if host := w.Host(i); host != nil && (!host.down.Load() || w.stopped.Load()) {
		return host
	}
	dc := w.Config.DataCentres[i%len(w.Config.DataCentres)]
	settings := fmt.Sprintf("[host]\nID=%s\nDATA_CENTRE=%s\n[caller]\nLISTEN=127.1.0.%d:8080\n[operator]\nLISTEN=127.1.0.%d:8081\n"+
		"[peer]\nLISTEN=%s\nCA_FILE=/dev/null\nCERT_FILE=/dev/null\nKEY_FILE=/dev/null\nHEARTBEAT=%s\n[platform]\nADDRESS=127.0.0.2:9000\n",
		hostID(i), dc, i+1, i+1, peerAddress(i), w.Config.Heartbeat)
	cfg, err := setting.Parse("world", []byte(settings))
	if err != nil {
		panic(err)
	}
	host := &Host{ID: hostID(i), DataCentre: dc}
	host.Daemon, err = daemon.NewWithDependencies(cfg, zerolog.Nop(), daemon.Dependencies{
		Store:   w.Store,
		Servers: &serverNetwork{w, host},
		Peers:   &peerNetwork{w, host},
		Policy:  w.Config.Policy,
	})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	host.stop = cancel
	w.mu.Lock()
	if w.hosts[host.ID] == nil {
		w.hostIDs = append(w.hostIDs, host.ID)
	}
	w.hosts[host.ID] = host
	w.mu.Unlock()
	host.Daemon.Start(ctx)
	return host
}

// Host returns the host with index i, or nil if it was never started.
func (w *World) Host(i int) *Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[hostID(i)]
}

// Kill stops the daemon of a host and immediately cuts off its traffic with other hosts.
func (w *World) Kill(i int) {
	host := w.Host(i)
	host.down.Store(true)
	host.stop()
}

// SetPartitioned sets whether the network between two hosts is down.
func (w *World) SetPartitioned(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitions[[2]string{a, b}] = cut
	w.partitions[[2]string{b, a}] = cut
}

// SetIsolated sets whether the network between a host and all other hosts is down. The
// other hosts then cannot tell it from a host whose process is paused.
func (w *World) SetIsolated(i int, frozen bool) {
	for _, other := range w.hostIDs {
		w.SetPartitioned(hostID(i), other, frozen)
	}
}

// Stop stops all daemons. No daemon can be started afterwards.
func (w *World) Stop() {
	w.stopped.Store(true)
	for i := range w.Config.Daemons {
		w.Host(i).stop()
	}
}

// AwaitReady waits until every daemon is ready, knows all hosts and has a complete
// snapshot of each pool. It returns an error if this takes longer than limit.
func (w *World) AwaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := 0
		for i := range w.Config.Daemons {
			s := w.Host(i).Daemon.Status()
			if s.Readiness.Ready && len(s.Snapshots) == len(w.Config.Pools) && len(s.Hosts) == w.Config.Daemons {
				ready++
			}
		}
		if ready == w.Config.Daemons {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("daemons not ready after %s", limit)
}
