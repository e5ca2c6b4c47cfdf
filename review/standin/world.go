//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var started = time.Now()

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		stopFronts()
		os.Exit(2)
	}
}

// ledger records what was sent, run and answered.
type ledger struct {
	mu       sync.Mutex
	out      *bufio.Writer
	runs     map[string][]string
	arrivals map[string][]arrival
	// failures holds the server and the request of each answer that is a failure.
	failures map[string]bool
}

type arrival struct {
	server *server
	at     time.Time
}

func newLedger(path string) *ledger {
	f, err := os.Create(path)
	check(err)
	return &ledger{out: bufio.NewWriter(f), runs: map[string][]string{}, arrivals: map[string][]arrival{}, failures: map[string]bool{}}
}

func (l *ledger) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteLocked(format, args...)
}

func (l *ledger) noteLocked(format string, args ...any) {
	fmt.Fprintf(l.out, "%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

func (l *ledger) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.out.Flush()
}

func (l *ledger) arrive(s *server, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], arrival{s, time.Now()})
}

func (l *ledger) run(s *server, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], s.id)
	l.noteLocked("run      server %s runs %s", s.id, id)
}

func (l *ledger) runsOf(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs[id]...)
}

// front is one process of the system.
type front struct {
	name, zone, ip string
	address, ready string
	path, log      string
	process        *exec.Cmd
	startedAt      time.Time
	exited         chan struct{}
}

var (
	frontsMu sync.Mutex
	fronts   []*front
)

func stopFronts() {
	frontsMu.Lock()
	defer frontsMu.Unlock()
	for _, f := range fronts {
		if f.process != nil {
			_ = f.process.Process.Kill()
			<-f.exited
		}
	}
}

// world is a small deployment: a store, fronts, one in each zone, and servers.
type world struct {
	*ledger
	dir     string
	store   *store
	address string
	zones   []string
	fronts  []*front
	servers []*server
	version int
	ids     int
	idsMu   sync.Mutex
}

// freePort returns a port that is free at all loopback addresses of the world.
func freePort(ips ...string) int {
	for range 200 {
		l, err := net.Listen("tcp4", ips[0]+":0")
		check(err)
		port := l.Addr().(*net.TCPAddr).Port
		free := true
		for _, ip := range ips[1:] {
			m, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			defer m.Close()
		}
		_ = l.Close()
		if free {
			return port
		}
	}
	check(fmt.Errorf("no free port"))
	return 0
}

var zoneNames = []string{"kgn-a", "mbj-a", "ocr-a"}

var regions = map[string]string{"kgn-a": "kingston", "mbj-a": "mobay", "ocr-a": "ochi"}

func newWorld(l *ledger) *world {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	w := &world{ledger: l, dir: dir, store: newStore(), zones: zoneNames}
	w.address = net.JoinHostPort("127.0.0.1", strconv.Itoa(freePort("127.0.0.1")))
	w.store.serve(w.address)
	ips := []string{"127.0.0.11", "127.0.0.12", "127.0.0.13"}
	frontPort, ready, control, inner := freePort(ips...), freePort(ips...), freePort(ips...), freePort(ips...)
	for i, zone := range w.zones {
		f := &front{name: "front-" + zone + "-1", zone: zone, ip: ips[i]}
		f.path, f.log = filepath.Join(dir, f.name+".yaml"), filepath.Join(dir, f.name+".log")
		f.address, f.ready = net.JoinHostPort(f.ip, strconv.Itoa(frontPort)), net.JoinHostPort(f.ip, strconv.Itoa(ready))
		text := f.settings(w, control, inner, ips)
		check(os.WriteFile(f.path, []byte(text), 0o600))
		w.fronts = append(w.fronts, f)
	}
	frontsMu.Lock()
	fronts = w.fronts
	frontsMu.Unlock()
	return w
}

// settings returns the settings file of a front, as the pages show it.
func (f *front) settings(w *world, control, inner int, ips []string) string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("node_name: %q\nrole: \"front\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\nip: %q\nzone: %q\nregion: %q\nzones:", f.name, f.ip, f.zone, regions[f.zone])
	for _, z := range w.zones {
		p("  %s: %q", z, regions[z])
	}
	p("bind_addresses:\n  front: %q\n  ready: %q\n  control: \"%s:%d\"", f.address, f.ready, f.ip, control)
	p("internal_ports:\n  - %d\n  - %d\nseeds:", inner, inner+1)
	for _, ip := range ips {
		p("  - \"%s:%d\"", ip, control)
	}
	p("bootstrap: false\nin_fault_budget: false\nlimits:\n  cpu_share: 0.4\n  cores: 1\n  memory_mb: 284\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200")
	p("fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 1\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 5000\n  ack_ms: 6000\n  catch_up_s: 4\n  drain_ms: 4000\n  grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 4000\n  rollback_slack_ms: 250\n  max_skew_ms: 15000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 56\n  exposure_share: 0.1\n  exposure_slack: 50\n  rollback_ms: 5000\n  cold_overage: 1.5\n  cold_slack: 5\n  evacuate_ms: 5000\n  recovery_s: 12")
	p("platform:\n  address: %q\n  form: \"objects\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000", w.address)
	return b.String()
}

// start starts the process of a front with the command of the deploy file.
func (f *front) start(w *world) {
	log, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	f.process = exec.Command("target/godwithatch", "front")
	f.process.Env = append(os.Environ(), "GODWITHATCH_BOOT="+f.path)
	f.process.Stdout, f.process.Stderr = log, log
	check(f.process.Start())
	f.startedAt, f.exited = time.Now(), make(chan struct{})
	w.note("start    %s", f.name)
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		_ = log.Close()
		close(exited)
	}(f.process, f.exited)
}

// isReady asks a front as the platform does.
func (f *front) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + f.ready + "/godwithatch/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (w *world) awaitReady(f *front) {
	for range 1000 {
		if f.isReady() {
			w.note("ready    %s", f.name)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	check(fmt.Errorf("%s does not get ready", f.name))
}

// end stops all processes and removes the temporary folder. It ends with 1 if a rule was
// broken.
func (w *world) end(broken int, text string, args ...any) {
	stopFronts()
	w.note(text, args...)
	w.note("verdict  broken %d times", broken)
	w.flush()
	_ = os.RemoveAll(w.dir)
	fmt.Printf(text+"\n", args...)
	if broken > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

// add starts a server and writes its entry.
func (w *world) add(s *server) {
	s.address = "127.0.0.1:0"
	s.start(w.ledger)
	w.servers = append(w.servers, s)
	w.store.put("servers", s.id, s.entry("ready"))
}

// configure writes the next version of the configuration.
func (w *world) configure(routes []map[string]any) {
	w.version += 3
	known := map[string]bool{}
	services := []map[string]any{}
	for _, s := range w.servers {
		if !known[s.service] {
			known[s.service] = true
			services = append(services, map[string]any{"name": s.service, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 0.0})
		}
	}
	w.store.put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.note("config   version %d", w.version)
}

func (w *world) nextID() string {
	w.idsMu.Lock()
	defer w.idsMu.Unlock()
	w.ids++
	return fmt.Sprintf("%08x%06x", started.UnixNano()&0xffffffff, w.ids)
}

// result is what a client saw.
type result struct {
	id     string
	sentAt time.Time
	status int
	header http.Header
	body   []byte
	err    error
}

// client keeps one connection to a front and sends one request at a time.
type client struct {
	w    *world
	f    *front
	conn net.Conn
	r    *bufio.Reader
}

// send sends a request and waits for the answer, for at most wait.
func (c *client) send(method, host, path string, wait time.Duration, body []byte) result {
	x := result{id: c.w.nextID(), sentAt: time.Now()}
	x.status, x.header, x.body, x.err = c.exchange(x.id, method, host, path, wait, body)
	if x.err != nil {
		c.close()
		c.w.note("client   %s %s at %s: %v", method, x.id, c.f.name, x.err)
		return x
	}
	c.w.note("client   %s %s at %s: %d", method, x.id, c.f.name, x.status)
	return x
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

func (c *client) exchange(id, method, host, path string, wait time.Duration, body []byte) (int, http.Header, []byte, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.f.address, time.Second)
		if err != nil {
			return 0, nil, nil, err
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, wait.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return 0, nil, nil, err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, resp.Header, got, err
}

// load lets n clients of each front send requests one after the other until ctx ends, each
// with a pause between. It returns what they saw.
func (w *world) load(ctx context.Context, n int, pause time.Duration, send func(c *client) result) []result {
	var mu sync.Mutex
	var all []result
	var clients sync.WaitGroup
	for _, f := range w.fronts {
		for range n {
			clients.Go(func() {
				c := &client{w: w, f: f}
				defer c.close()
				for ctx.Err() == nil {
					x := send(c)
					mu.Lock()
					all = append(all, x)
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
	}
	clients.Wait()
	return all
}

// terminate stops a front as the platform does, and waits for its end.
func (f *front) terminate() {
	_ = f.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-f.exited:
	case <-time.After(6 * time.Second):
		_ = f.process.Process.Kill()
		<-f.exited
	}
}
