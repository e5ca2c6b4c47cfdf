// Package harness starts the daemons and stand-ins for the platform and the servers
// as separate processes on loopback addresses. The demo and the process tests use it.
package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// DataCentres lists the data centres of the Island Escape Room deployment.
var DataCentres = []string{"kingston", "montego-bay", "ocho-rios"}

const (
	platformAddress = "127.0.0.2:9000"
	startTimeout    = 20 * time.Second
)

// Options sets the size of a deployment and the behaviour of its servers.
type Options struct {
	Daemons int
	// Groups is the number of server groups. Each group has a server in each data
	// centre.
	Groups int
	// SubsetSize is the value of the setting SUBSET of the daemons: the maximum number of
	// daemons that may send requests to one server, or 0 for all daemons.
	SubsetSize int
	// ServiceTime is the mean service time of a server.
	ServiceTime time.Duration
	// Cold starts the servers with empty caches.
	Cold bool
}

// Process is a running program of a deployment.
type Process struct {
	Name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// Deployment holds the processes of one deployment and the directory of their files.
type Deployment struct {
	Dir     string
	Opts    Options
	mu      sync.Mutex
	running map[string]*Process
}

// Start builds the programs, starts a deployment and waits until each daemon serves
// queries.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "godwithatch-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Dir: dir, Opts: opts, running: map[string]*Process{}}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", d.Dir+"/", ".", "./tests/platform", "./tests/upstream")
	build.Dir = moduleRoot()
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	if err := d.startProcess("platform", "platform", "--listen", platformAddress); err != nil {
		return err
	}
	if err := waitFor(ctx, "platform", func() bool { return putJSON("http://"+platformAddress+"/v1/hosts", d.hostTable()) == nil }); err != nil {
		return err
	}
	if err := errors.Join(d.UpdateTable("routes", d.Routes()), d.UpdateTable("pools", d.Pools(nil))); err != nil {
		return err
	}
	for g := range d.Opts.Groups {
		for r := range DataCentres {
			if err := d.StartServer(g, r); err != nil {
				return err
			}
		}
	}
	if err := WriteCredentials(d.Dir, d.Opts.Daemons); err != nil {
		return err
	}
	for i := range d.Opts.Daemons {
		if err := d.StartDaemon(i); err != nil {
			return err
		}
	}
	for i := range d.Opts.Daemons {
		if err := d.WaitServing(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// WaitServing waits until a daemon answers queries with the replies of all groups. If
// this takes more than 20 s, it returns an error with the log and the state of the
// daemon.
func (d *Deployment) WaitServing(ctx context.Context, i int) error {
	err := waitFor(ctx, DaemonID(i), func() bool { return d.isServing(i) })
	if err == nil {
		return nil
	}
	var state json.RawMessage
	_ = GetJSON("http://"+OperatorAddress(i)+"/debug/state", &state)
	return fmt.Errorf("%w\n%s\n%s", err, d.Log(DaemonID(i)), state)
}

// Post sends a POST request with an empty body and returns the status.
func Post(address, path string) (int, error) {
	resp, err := client.Post("http://"+address+path, "application/json", nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

func moduleRoot() string {
	out, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "."
	}
	return filepath.Dir(strings.TrimSpace(string(out)))
}

func waitFor(ctx context.Context, what string, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s was not ready after %s", what, startTimeout)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// isServing reports whether a daemon is ready, knows all daemons and a snapshot of the
// pool slot-finder, and answers a query with the replies of all groups.
func (d *Deployment) isServing(i int) bool {
	var s struct {
		Readiness struct{ Ready bool }
		Hosts     []string
		Snapshots map[string]uint64
	}
	if GetJSON("http://"+OperatorAddress(i)+"/status", &s) != nil || !s.Readiness.Ready || len(s.Hosts) < d.Opts.Daemons || s.Snapshots["slot-finder"] == 0 {
		return false
	}
	answer, err := Query(CallerAddress(i), "slot-finder", `{"q":"warm-up"}`, "", time.Second)
	return err == nil && answer.Coverage.Answered == d.Opts.Groups
}

// DaemonID returns the identity of daemon i.
func DaemonID(i int) string { return dataCentreOf(i) + "-" + strconv.Itoa(i/daemonDataCentres+1) }

// daemonDataCentres is the number of data centres that have daemons. The last data centre
// has servers but no daemons, so the subset of each of its servers (the daemons that may
// send requests to the server) holds daemons of other data centres. If SubsetSize is
// small, a daemon may be in the subset of none of the servers of a group. It must then
// forward its requests for this group to a daemon that is in such a subset.
const daemonDataCentres = 2

func dataCentreOf(i int) string { return DataCentres[i%daemonDataCentres] }

// ServerID returns the identity of a server. The replica is the index of its data
// centre.
func ServerID(group, replica int) string { return fmt.Sprintf("sf-%02d-%c", group, 'a'+replica) }

func hostIP(i int) string {
	return fmt.Sprintf("127.1.%d.%d", i%daemonDataCentres, i/daemonDataCentres+1)
}

// CallerAddress returns the address at which a daemon serves callers.
func CallerAddress(i int) string { return hostIP(i) + ":8080" }

// OperatorAddress returns the address at which a daemon serves operators.
func OperatorAddress(i int) string { return hostIP(i) + ":8081" }

// ServerAddress returns the address at which a server listens.
func ServerAddress(group, replica int) string {
	return fmt.Sprintf("127.2.%d.%d:7000", replica, group+1)
}

func (d *Deployment) hostTable() any {
	var rows []map[string]any
	for i := range d.Opts.Daemons {
		rows = append(rows, map[string]any{"id": DaemonID(i), "address": hostIP(i) + ":8082", "data_centre": dataCentreOf(i)})
	}
	return rows
}

// Routes returns the routes table.
func (d *Deployment) Routes() any {
	return map[string]any{"routes": []map[string]any{
		{"name": "slot-finder", "pool": "slot-finder", "idempotent": true, "partial": true, "priority": "high", "timeout": "1s"},
		{"name": "book", "pool": "slot-finder", "idempotent": false, "partial": false, "timeout": "2s"},
	}}
}

// Pools returns the pools table, with the given data centres marked as drained.
func (d *Deployment) Pools(drained []string) any {
	var servers []map[string]any
	for g := range d.Opts.Groups {
		for r, dc := range DataCentres {
			servers = append(servers, map[string]any{"id": ServerID(g, r), "address": ServerAddress(g, r), "data_centre": dc})
		}
	}
	var rows []map[string]any
	for _, dc := range drained {
		rows = append(rows, map[string]any{"name": dc, "drained": true})
	}
	return map[string]any{
		"pools":        []map[string]any{{"name": "slot-finder", "slots": 3, "connections": 30, "upstreams": servers}},
		"data_centres": rows,
	}
}

// UpdateTable writes a table to the platform as an operator does: the write succeeds only
// if the version is still the one that UpdateTable has read before.
func (d *Deployment) UpdateTable(name string, table any) error {
	url := "http://" + platformAddress + "/v1/objects/" + name
	version := "0"
	if resp, err := http.Get(url); err == nil {
		if resp.StatusCode == http.StatusOK {
			version = resp.Header.Get("Object-Version")
		}
		_ = resp.Body.Close()
	}
	return putIfMatch(url, table, version)
}

// SetFaults replaces the faults of the platform or of a server by a request to its path
// /control.
func SetFaults(address string, faults any) error {
	return putJSON("http://"+address+"/control", faults)
}

// PlatformAddress returns the address at which the platform listens.
func PlatformAddress() string { return platformAddress }

// StartServer starts a server.
func (d *Deployment) StartServer(group, replica int) error {
	args := []string{
		"upstream", "--listen", ServerAddress(group, replica), "--id", ServerID(group, replica),
		"--service", d.Opts.ServiceTime.String(), "--holdings", fmt.Sprintf("41:%d/%d", group, d.Opts.Groups),
	}
	if d.Opts.Cold {
		args = append(args, "--cold")
	}
	return d.startProcess(ServerID(group, replica), args...)
}

// StartDaemon writes the settings of a daemon and starts it.
func (d *Deployment) StartDaemon(i int) error {
	id := DaemonID(i)
	settings := fmt.Sprintf(`[host]
ID = %s
DATA_CENTRE = %s
[caller]
LISTEN = %s
DRAIN_DELAY = 300ms
[operator]
LISTEN = %s
[peer]
LISTEN = %s:8082
CA_FILE = %s/ca.pem
CERT_FILE = %s/%s.pem
KEY_FILE = %s/%s.key
HEARTBEAT = 300ms
[platform]
ADDRESS = %s
POLL = 2s
[balance]
SUBSET = %d
`, id, dataCentreOf(i), CallerAddress(i), OperatorAddress(i), hostIP(i), d.Dir, d.Dir, id, d.Dir, id, platformAddress, d.Opts.SubsetSize)
	path := filepath.Join(d.Dir, id+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	return d.startProcess(id, "godwithatch", "serve", "--config", path)
}

// startProcess starts the program args[0] as the process with the given name. It appends
// the output of the process to the log file of that name.
func (d *Deployment) startProcess(name string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(d.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := &Process{Name: name, args: args, done: make(chan struct{}), log: log}
	p.cmd = exec.Command(filepath.Join(d.Dir, args[0]), args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[name] = p
	return nil
}

// Signal sends a signal to a process.
func (d *Deployment) Signal(name string, s syscall.Signal) error {
	d.mu.Lock()
	p := d.running[name]
	d.mu.Unlock()
	if p == nil {
		return fmt.Errorf("no process named %s", name)
	}
	return p.cmd.Process.Signal(s)
}

// Wait waits until a process has exited and returns its exit code. It returns an error
// if the process is still running after limit.
func (d *Deployment) Wait(name string, limit time.Duration) (int, error) {
	d.mu.Lock()
	p := d.running[name]
	d.mu.Unlock()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, fmt.Errorf("%s is still running after %s", name, limit)
	}
}

// Stop kills every process of the deployment and removes the deployment's files.
func (d *Deployment) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.running {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range d.running {
		<-p.done
	}
	_ = os.RemoveAll(d.Dir)
}

// Log returns the output of a process.
func (d *Deployment) Log(name string) string {
	text, _ := os.ReadFile(filepath.Join(d.Dir, name+".log"))
	return string(text)
}

// Answer is the answer to a query, or the problem document if the query was refused.
type Answer struct {
	Status   int
	Type     string
	Outcome  string
	Detail   string
	Snapshot uint64
	Coverage struct {
		Answered int
		Total    int
		Missing  []int
	}
	Results []struct {
		Shard int
		Data  json.RawMessage
	}
	Latency time.Duration
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// Query sends one query to a route. If key is empty, the query has no Idempotency-Key.
func Query(address, route, body, key string, timeout time.Duration) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/routes/"+route+"/query", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Request-Timeout", strconv.FormatInt(timeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	a := &Answer{}
	if err := json.Unmarshal(content, a); err != nil {
		return nil, fmt.Errorf("%w: %s", err, content)
	}
	a.Status = resp.StatusCode
	a.Latency = time.Since(start)
	return a, nil
}

// GetJSON fetches a URL and decodes the JSON body, whatever the HTTP status is.
func GetJSON(url string, into any) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

func putJSON(url string, v any) error { return putIfMatch(url, v, "") }

func putIfMatch(url string, v any, version string) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if version != "" {
		req.Header.Set("If-Match", version)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered with status %d", url, resp.StatusCode)
	}
	return nil
}
