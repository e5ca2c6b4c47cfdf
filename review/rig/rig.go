//go:build review

// Command rig plays the cases of review/6 to review/10 that are scripts. It starts the
// project's front as separate processes with the command of the deploy file, and serves the
// platform's store, the servers and the clients on loopback addresses.
//
//	rig CASE FOLDER
//
// It writes what was sent, answered and run to FOLDER/record.txt. It exits with 1 if the rule
// of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the
// case runs without its disruption.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/godwithatch/godwithatch/tests/standin/metadata"
)

// The bounds of the settings that are the same for all deployments.
const (
	coldOverage = 1.5
	coldSlack   = 5
	heartbeat   = 1200 * time.Millisecond
)

// zone is a zone of a deployment, in a region of its own, with its fronts.
type zone struct {
	name, region string
	fronts       int
}

// deployment is what the cases take from a site file.
type deployment struct {
	zones                       []zone
	contactMs, drainMs, applyMs int
}

var (
	jeroaFind   = deployment{[]zone{{"kgn-a", "kingston", 3}, {"mbj-a", "mobay", 3}, {"ocr-a", "ochi", 2}}, 5000, 4000, 4000}
	coredCyfrif = deployment{[]zone{{"tywi-llandeilo", "tywi", 2}, {"teifi-cenarth", "teifi", 2}, {"wysg-trefynwy", "wysg", 2}}, 4000, 3000, 3000}
)

// notRun ends the process because the case could not run.
type notRun struct{ cause string }

func must(err error) {
	if err != nil {
		panic(notRun{err.Error()})
	}
}

// rig holds the stand-ins and the processes of one run.
type rig struct {
	deployment
	dir     string
	store   *metadata.Store
	address string
	fronts  []*front
	start   time.Time
	version int

	mu     sync.Mutex
	record *bufio.Writer
}

// front is one process of the system.
type front struct {
	name, zone, ip, address, ready, control, settings string

	// toStore is the link of the front to the store.
	toStore *cuttable
	cmd     *exec.Cmd
	ended   chan struct{}
}

func newRig(d deployment, folder string) *rig {
	dir, err := os.MkdirTemp("", "rig-")
	must(err)
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)
	r := &rig{deployment: d, dir: dir, store: metadata.New(), start: time.Now(), record: bufio.NewWriterSize(f, 1<<20)}
	l, err := net.Listen("tcp4", "127.60.9.1:0")
	must(err)
	r.address = l.Addr().String()
	go http.Serve(l, r.store) //nolint:errcheck // It serves until the process ends.
	return r
}

// log writes one line of the record.
func (r *rig) log(format string, args ...any) {
	line := fmt.Sprintf("%9.4f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.record.WriteString(line)
	must(err)
}

// close ends all processes and writes the rest of the record.
func (r *rig) close() {
	for _, f := range r.fronts {
		f.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Flush()
	os.RemoveAll(r.dir)
}

// freeAddress returns an address of ip that nobody listens on.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// addFront writes the settings of a front.
func (r *rig) addFront(name, zone, region, ip string) *front {
	f := &front{name: name, zone: zone, ip: ip, address: freeAddress(ip), ready: freeAddress(ip), control: freeAddress(ip), settings: filepath.Join(r.dir, name+".yaml")}
	for f.ready == f.address {
		f.ready = freeAddress(ip)
	}
	for f.control == f.address || f.control == f.ready {
		f.control = freeAddress(ip)
	}
	storeAddress := ""
	f.toStore, storeAddress = newCuttable(r.address, "127.60.9.2")
	r.fronts = append(r.fronts, f)
	r.writeSettings(f, region, storeAddress)
	return f
}

func (r *rig) writeSettings(f *front, region, storeAddress string) {
	var seeds, regions []string
	for _, x := range r.fronts[:min(3, len(r.fronts))] {
		seeds = append(seeds, fmt.Sprintf("%q", x.control))
	}
	for _, z := range r.zones {
		regions = append(regions, fmt.Sprintf("%s: %q", z.name, z.region))
	}
	text := fmt.Sprintf(`node_name: %q
role: "front"
machine_class: "front"
serves: ["front", "control"]
ip: %q
zone: %q
region: %q
zones: {%s}
bind_addresses: {front: %q, ready: %q, control: %q}
internal_ports: [7740, 7755]
seeds: [%s]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: %d
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: %d, ack_ms: 6000, catch_up_s: 4, drain_ms: %d, grace_s: 6, loss_slack_ms: 200, config_apply_ms: %d, rollback_slack_ms: 250, max_skew_ms: 15000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 56, cold_overage: %v, cold_slack: %d, evacuate_ms: 5000, recovery_s: 12}
platform: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576}
`, f.name, f.ip, f.zone, region, strings.Join(regions, ", "), f.address, f.ready, f.control, strings.Join(seeds, ", "),
		heartbeat.Milliseconds(), r.contactMs, r.drainMs, r.applyMs, coldOverage, coldSlack, storeAddress)
	must(os.WriteFile(f.settings, []byte(text), 0o600))
}

// startAll starts the fronts of all zones and waits until they are ready.
func (r *rig) startAll() {
	for z, zone := range r.zones {
		for n := range zone.fronts {
			r.addFront(fmt.Sprintf("front-%s-%d", zone.name, n+1), zone.name, zone.region, fmt.Sprintf("127.60.%d.%d", z+1, n+1))
		}
	}
	for _, f := range r.fronts {
		r.run(f)
	}
	for _, f := range r.fronts {
		f.awaitReady()
	}
}

// host is the host name of the routes.
const host = "find.example"

// configure writes the configuration with the given services and routes.
func (r *rig) configure(services []map[string]any, routes ...map[string]any) {
	r.version++
	r.store.Put("config", "main", map[string]any{
		"version": r.version, "services": services, "routes": routes,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	r.log("configuration %d accepted", r.version)
}

// run starts the process of a front with the command of the deploy file.
func (r *rig) run(f *front) {
	log, err := os.OpenFile(filepath.Join(r.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	f.cmd = exec.Command("target/godwithatch", "front")
	f.cmd.Env = []string{"GODWITHATCH_BOOT=" + f.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(f.cmd.Start())
	ended := make(chan struct{})
	f.ended = ended
	go func() {
		f.cmd.Wait() //nolint:errcheck // It is killed.
		close(ended)
	}()
	r.log("start %s pid %d", f.name, f.cmd.Process.Pid)
}

func (f *front) kill() {
	f.cmd.Process.Signal(syscall.SIGKILL) //nolint:errcheck // It may have ended.
	<-f.ended
}

func (f *front) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + f.ready + "/godwithatch/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	panic(notRun{f.name + " is not ready"})
}

func main() {
	os.Exit(play())
}

func play() (code int) {
	type playable struct {
		deployment
		play func(r *rig, hasTrouble bool) (broken string)
	}
	cases := map[string]playable{"cold": {jeroaFind, playCold}, "clock": {coredCyfrif, playClock}, "promise": {jeroaFind, playPromise}, "deadly": {jeroaFind, playDeadly}, "mirror": {coredCyfrif, playMirror}}
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return 2
	}
	defer func() {
		if x, ok := recover().(notRun); ok {
			fmt.Fprintln(os.Stderr, "not run:", x.cause)
			code = 2
		}
	}()
	c := cases[os.Args[1]]
	r := newRig(c.deployment, os.Args[2])
	defer r.close()
	broken := c.play(r, os.Getenv("TROUBLE") != "0")
	if broken == "" {
		r.log("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	r.log("the rule was broken: %s", broken)
	fmt.Println("the rule was broken:", broken)
	return 1
}
