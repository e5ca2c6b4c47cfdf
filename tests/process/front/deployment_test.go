// Package front tests real processes of the front on loopback addresses, with stand-ins for
// the store and the servers.
package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/tests/standin/metadata"
)

const (
	shards      = 4
	dataCentres = 3
	// drainBound and applyBound are the bounds of the settings, in milliseconds.
	drainBound = 4000
	applyBound = 4000
	// startTimeout is the time within which a front must be ready.
	startTimeout = 20 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "front-")
	if err == nil {
		binary = filepath.Join(dir, "godwithatch")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, "../../..").CombinedOutput(); err != nil {
			err = fmt.Errorf("build: %w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// limits are the limits on the requests of clients in the configuration.
type limits struct{ headerBytes, bodyBytes, headerTimeoutMs, idleTimeoutMs int }

// deployment is a store with fronts and servers.
type deployment struct {
	t      *testing.T
	dir    string
	store  *metadata.Store
	fronts []*process
	// settings are further lines of the settings file.
	settings string
	limits   limits
	storeURL string
	// storeServer serves the store.
	storeServer *http.Server
	// maxDescriptors is the limit on the descriptors of each front; 0 for that of the test.
	maxDescriptors int
	// beats is the number of entries that beat has written.
	beats int
}

// process is one front.
type process struct {
	name, ip string
	path     string
	cmd      *exec.Cmd
	ended    chan struct{}
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), store: metadata.New(), limits: limits{16384, 262144, 3000, 15000}}
	d.storeServer, d.storeURL = d.startServer("127.0.1.2:0", d.store)
	return d
}

// serve serves a handler at an address until the test ends and returns the address with its
// port.
func (d *deployment) serve(address string, h http.Handler) string {
	_, address = d.startServer(address, h)
	return address
}

func (d *deployment) startServer(address string, h http.Handler) (*http.Server, string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		d.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l) //nolint:errcheck // It returns when the test closes the server.
	d.t.Cleanup(func() { s.Close() })
	return s, l.Addr().String()
}

// restartStore ends the process of the store, with its connections, and starts it again with
// the content of c after the given time. write is called before it answers.
func (d *deployment) restartStore(c *metadata.Copy, outage time.Duration, write func()) {
	d.storeServer.Close()
	time.Sleep(outage)
	d.store.Restore(c)
	write()
	d.storeServer, _ = d.startServer(d.storeURL, d.store)
}

func service(shard int) string { return fmt.Sprint("shard", shard) }

func dataCentre(i int) string { return fmt.Sprint("z", i) }

// putServer writes the entry of a server to the store.
func (d *deployment) putServer(id, service, dataCentre, address string, bornUnixMs int64) {
	d.store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": dataCentre, "version": "v1", "capacity": 4,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": bornUnixMs,
	})
}

// configure writes the first version of the configuration.
func (d *deployment) configure() { d.putConfig(1) }

// putConfig writes a version of the configuration: a sharded route, two routes to one service,
// of which one is not idempotent, and further routes with the given names.
func (d *deployment) putConfig(version int, more ...string) {
	names := make([]string, shards)
	for i := range names {
		names[i] = service(i)
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
		route("one", "read_only", map[string]any{"service": service(0)}),
		route("desk", "non_idempotent", map[string]any{"service": service(1)}),
	}
	for _, name := range more {
		routes = append(routes, route(name, "read_only", map[string]any{"service": service(0)}))
	}
	d.store.Put("config", "main", map[string]any{
		"version": version, "services": []any{}, "routes": routes,
		"limits": map[string]any{
			"max_header_bytes": d.limits.headerBytes, "max_body_bytes": d.limits.bodyBytes,
			"header_timeout_ms": d.limits.headerTimeoutMs, "idle_timeout_ms": d.limits.idleTimeoutMs,
		},
	})
}

// startFronts starts n fronts, spread over the data centres, and waits until all are ready.
func (d *deployment) startFronts(n int) {
	for i := range n {
		p := &process{name: fmt.Sprint("front-", i), ip: fmt.Sprintf("127.2.0.%d", i+1)}
		p.path = filepath.Join(d.dir, p.name+".yaml")
		settings := fmt.Sprintf(`node_name: %q
zone: %q
region: "r%d"
zones: {z0: r0, z1: r1, z2: r2}
bind_addresses: {front: "%[4]s:8080", ready: "%[4]s:8081"}
internal_ports: [8082, 8083]
bounds: {grace_s: 6, drain_ms: %d, config_apply_ms: %d}
platform: {address: %q, form: "objects"}
%s`, p.name, dataCentre(i%dataCentres), i%dataCentres, p.ip, drainBound, applyBound, d.storeURL, d.settings)
		if err := os.WriteFile(p.path, []byte(settings), 0o600); err != nil {
			d.t.Fatal(err)
		}
		d.fronts = append(d.fronts, p)
		d.start(p)
	}
	for _, p := range d.fronts {
		d.awaitReady(p)
	}
}

// start starts the process of a front, which ends with the test at the latest.
func (d *deployment) start(p *process) {
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.CommandContext(context.Background(), binary, "front", "--settings", p.path)
	if d.maxDescriptors > 0 {
		limit := fmt.Sprintf("ulimit -n %d && exec %q front --settings %q", d.maxDescriptors, binary, p.path)
		cmd = exec.CommandContext(context.Background(), "sh", "-c", limit)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		cmd.Wait() //nolint:errcheck // The tests look at whether the process has ended.
		close(ended)
	}()
	d.t.Cleanup(func() {
		cmd.Process.Kill() //nolint:errcheck // It may have ended already.
		<-ended
	})
}

// kill ends the process of a front and waits for its end.
func (p *process) kill() {
	p.cmd.Process.Signal(syscall.SIGKILL) //nolint:errcheck // It may have ended already.
	<-p.ended
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (d *deployment) awaitReady(p *process) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + p.ip + ":8081/godwithatch/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	d.t.Fatalf("%s is not ready; its log: %s", p.name, d.log(p))
}

// log returns the last lines that a front wrote.
func (d *deployment) log(p *process) string {
	text, err := os.ReadFile(filepath.Join(d.dir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	const most = 4000
	return string(text[max(0, len(text)-most):])
}

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ask sends a GET request through a front. It returns status 0 if no answer came.
func ask(p *process, path, id string) (int, http.Header) {
	return send(p, http.MethodGet, path, id, "")
}

func send(p *process, method, path, id, body string) (int, http.Header) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+p.ip+":8080"+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "1400")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}
