package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/godwithatch/godwithatch/tests/standin/link"
	"github.com/godwithatch/godwithatch/tests/standin/metadata"
	"github.com/godwithatch/godwithatch/tests/standin/shardserver"
)

const (
	shards         = 4
	replicas       = 3
	dataCentres    = 3
	callerInterval = 25 * time.Millisecond
	callers        = 4
	// drainBound is the setting drain_ms of the fronts: the time after which a draining
	// server must get no more requests. The bound for applying a configuration,
	// config_apply_ms, has the same value.
	drainBound = 4 * time.Second
	// frontsPerDataCentre is more than one so that fronts can get changes from another
	// front of their data centre.
	frontsPerDataCentre = 2
)

// upstream is one running server, with the link that injects faults into its connections.
type upstream struct {
	id, service, dataCentre, address string

	server   *shardserver.Server
	link     *link.Listener
	http     *http.Server
	sequence int
}

// front is one front process.
type front struct {
	name, ip string
	cmd      *exec.Cmd
	// incarnation is the number of times that the process has been started.
	incarnation int
	// faultSince is the time at which the active fault of the front began, or zero if it
	// has none.
	faultSince time.Time
	// isDown means that the process is killed, stopped or paused.
	isDown bool
}

// soak holds the processes, the stand-ins and the state of one run.
type soak struct {
	dir, binary string
	rng         *rand.Rand
	store       *metadata.Store
	storeLink   *link.Listener
	fronts      []*front
	upstreams   []*upstream
	report      *report

	mu      sync.Mutex
	version int
	// servers holds every server that was started in the run, by identity, including
	// those that have left.
	servers map[string]*shardserver.Server
	// disturbedUntil is the time until which the effects of faults can make fronts exceed
	// the bounds for applying configurations and for draining servers.
	disturbedUntil time.Time
	// configuredAt is the time at which the latest configuration was written.
	configuredAt time.Time
}

func newSoak(seed uint64, fronts int, binary string) (*soak, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	s := &soak{
		dir: dir, binary: binary, rng: rand.New(rand.NewPCG(seed, 7)), store: metadata.New(), report: newReport(),
		servers: map[string]*shardserver.Server{},
	}
	if s.binary == "" {
		s.binary = filepath.Join(dir, "godwithatch")
		if out, err := exec.Command("go", "build", "-o", s.binary, ".").CombinedOutput(); err != nil {
			return nil, fmt.Errorf("build: %w: %s", err, out)
		}
	}
	l, err := net.Listen("tcp4", "127.0.1.1:0")
	if err != nil {
		return nil, err
	}
	s.storeLink = link.New(l)
	go http.Serve(s.storeLink, s.store) //nolint:errcheck // It serves until the soak exits.
	for i := range shards * replicas {
		if err := s.addUpstream(i); err != nil {
			return nil, err
		}
	}
	s.writeConfiguration()
	for i := range fronts {
		f := &front{name: "front-" + strconv.Itoa(i), ip: fmt.Sprintf("127.1.%d.%d", seed%250, i+1)}
		s.fronts = append(s.fronts, f)
		if err := s.start(f, i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func dataCentre(i int) string { return "z" + strconv.Itoa(i%dataCentres) }

// addUpstream starts a server with a new identity in position i of upstreams. It replaces
// the previous server in that position.
func (s *soak) addUpstream(i int) error {
	l, err := net.Listen("tcp4", fmt.Sprintf("127.0.2.%d:0", i%200+1))
	if err != nil {
		return err
	}
	u := &upstream{
		id: fmt.Sprintf("i-%d-%d", i, s.report.nextID()), service: "shard" + strconv.Itoa(i/replicas), dataCentre: dataCentre(i),
		address: l.Addr().String(), link: link.New(l),
	}
	u.server = shardserver.New(u.id)
	if i%replicas == 0 {
		u.server.SetEchoes(func(int) bool { return false })
	}
	u.http = &http.Server{Handler: u.server}
	go u.http.Serve(u.link) //nolint:errcheck // It serves until the soak closes the server.
	s.mu.Lock()
	s.servers[u.id] = u.server
	s.mu.Unlock()
	if i < len(s.upstreams) {
		s.upstreams[i] = u
	} else {
		s.upstreams = append(s.upstreams, u)
	}
	s.publishEntry(u, "ready")
	return nil
}

func (s *soak) publishEntry(u *upstream, state string) {
	u.sequence++
	s.store.Put("servers", u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": u.dataCentre, "version": "v1", "capacity": 4,
		"state": state, "cold_remaining_ms": 0, "sequence": u.sequence, "born": 1,
	})
}

// writeConfiguration writes the next version of the configuration. Each version has the
// routes of the previous version and one more.
func (s *soak) writeConfiguration() {
	s.mu.Lock()
	s.version++
	version := s.version
	s.configuredAt = time.Now()
	s.mu.Unlock()
	names := make([]string, shards)
	for i := range names {
		names[i] = "shard" + strconv.Itoa(i)
	}
	route := func(name, kind string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 1, "max_attempts": 2, "allowed_regions": []string{},
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	routes := []map[string]any{
		route("all", "read_only", map[string]any{"gather": names, "top_k": 5, "min_shard_ratio": 0.75}),
		route("one", "read_only", map[string]any{"service": "shard0"}),
		route("desk", "non_idempotent", map[string]any{"service": "shard1"}),
	}
	for v := 1; v <= version; v++ {
		routes = append(routes, route("v"+strconv.Itoa(v), "read_only", map[string]any{"service": "shard2"}))
	}
	s.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": []any{},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// start writes the settings of a front and starts its process.
func (s *soak) start(f *front, i int) error {
	settings := fmt.Sprintf(`node_name: %q
zone: %q
region: %q
zones: {z0: r0, z1: r1, z2: r2}
bind_addresses: {front: "%s:8080", ready: "%s:8081"}
internal_ports: [8082, 8083]
bounds: {grace_s: 6, drain_ms: %d, config_apply_ms: 4000}
platform: {address: %q, form: "objects"}
`, f.name, dataCentre(i/frontsPerDataCentre), "r"+strconv.Itoa(i/frontsPerDataCentre%dataCentres), f.ip, f.ip, drainBound.Milliseconds(), s.storeLink.Addr())
	path := filepath.Join(s.dir, f.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.binary, "front", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.cmd, f.isDown, f.faultSince = cmd, false, time.Time{}
	f.incarnation++
	return nil
}

// signal sends a signal to the process of a front, which the soak itself has started.
func (s *soak) signal(f *front, sig syscall.Signal) {
	if err := f.cmd.Process.Signal(sig); err != nil {
		s.report.fail("front exited unexpectedly: %s: %v", f.name, err)
	}
}

// restart sends a front a signal that ends it, waits until the process has exited and
// starts the front again.
func (s *soak) restart(f *front, i int, sig syscall.Signal) {
	s.mu.Lock()
	f.faultSince = time.Now()
	f.isDown = sig == syscall.SIGKILL
	s.mu.Unlock()
	s.signal(f, sig)
	start := time.Now()
	err := f.cmd.Wait()
	if sig == syscall.SIGTERM {
		s.report.check("a planned stop ends in time", err == nil && time.Since(start) < 6500*time.Millisecond, "%s: %v after %s", f.name, err, time.Since(start))
	}
	s.mu.Lock()
	f.isDown = true
	s.mu.Unlock()
	if err := s.start(f, i); err != nil {
		s.report.fail("start %s: %v", f.name, err)
	}
}
