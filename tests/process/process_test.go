// Package process tests the daemons with stand-ins for the platform and the servers,
// all as separate processes. The tests kill, freeze and stop processes, and make
// connections silent.
package process

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/tests/harness"
)

const groups = 4

var deployment *harness.Deployment

func TestMain(m *testing.M) {
	d, err := harness.Start(context.Background(), harness.Options{Daemons: 3, Groups: groups, SubsetSize: 1, ServiceTime: 4 * time.Millisecond})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	deployment = d
	code := m.Run()
	d.Stop()
	os.Exit(code)
}

// load sends queries through the given daemons until stop is closed. It returns the
// number of queries, and a text for each query that got no complete answer.
func load(daemons []int, stop <-chan struct{}) (sent int, problems []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for worker := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				host := daemons[(worker+i)%len(daemons)]
				a, err := harness.Query(harness.CallerAddress(host), "slot-finder", fmt.Sprintf(`{"n":%d}`, i), "", 2*time.Second)
				mu.Lock()
				sent++
				if err != nil || a.Status != 200 || a.Coverage.Answered != groups {
					problems = append(problems, fmt.Sprintf("daemon %d: error %v, answer %+v", host, err, a))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return sent, problems
}

// during runs fn, and sends queries through the given daemons until 2 s after fn has
// returned. It fails the test if a query gets no complete answer.
func during(t *testing.T, daemons []int, fn func()) {
	t.Helper()
	stop := make(chan struct{})
	go func() {
		fn()
		time.Sleep(2 * time.Second)
		close(stop)
	}()
	sent, problems := load(daemons, stop)
	if sent == 0 || len(problems) > 0 {
		t.Fatalf("%d of %d queries got no complete answer; the first: %s", len(problems), sent, problems[0])
	}
}

// forwardedRequests returns the number of requests that daemon 0 has forwarded to
// other daemons.
func forwardedRequests(t *testing.T) float64 {
	var sections []struct {
		Name  string
		Value json.RawMessage
	}
	if err := harness.GetJSON("http://"+harness.OperatorAddress(0)+"/debug/state", &sections); err != nil {
		t.Fatal(err)
	}
	var counters struct{ Hops float64 }
	for _, s := range sections {
		if s.Name == "counters" {
			_ = json.Unmarshal(s.Value, &counters)
		}
	}
	return counters.Hops
}

// Only one daemon may send requests to each server (SubsetSize is 1). If daemon 0 may send
// to none of the servers of a group, it must forward its requests for this group to
// another daemon.
func TestQueryCrossesTwoDaemons(t *testing.T) {
	before := forwardedRequests(t)
	during(t, []int{0}, func() {})
	if forwardedRequests(t) == before {
		t.Fatal("no request was forwarded to another daemon, although each daemon has a small subset of the servers")
	}
}

func TestServerKilled(t *testing.T) {
	t.Cleanup(func() {
		if err := deployment.StartServer(0, 0); err != nil {
			t.Error(err)
		}
	})
	during(t, []int{0, 1, 2}, func() {
		if err := deployment.Signal(harness.ServerID(0, 0), syscall.SIGKILL); err != nil {
			t.Error(err)
		}
	})
}

func TestServerFrozen(t *testing.T) {
	during(t, []int{0, 1, 2}, func() {
		_ = deployment.Signal(harness.ServerID(1, 1), syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		_ = deployment.Signal(harness.ServerID(1, 1), syscall.SIGCONT)
	})
}

func TestConnectionsGoSilent(t *testing.T) {
	during(t, []int{0, 1, 2}, func() {
		for g := range groups {
			for r := range harness.DataCentres {
				resp, err := harness.Post(harness.ServerAddress(g, r), "/control/silent")
				if err != nil || resp != 200 {
					t.Error(resp, err)
				}
			}
		}
	})
}

func TestDaemonFrozen(t *testing.T) {
	during(t, []int{0, 1}, func() {
		_ = deployment.Signal(harness.DaemonID(2), syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		_ = deployment.Signal(harness.DaemonID(2), syscall.SIGCONT)
	})
}

func TestDaemonKilled(t *testing.T) {
	during(t, []int{0, 1}, func() { _ = deployment.Signal(harness.DaemonID(2), syscall.SIGKILL) })
	restart(t, 2)
}

func restart(t *testing.T, i int) {
	if err := deployment.StartDaemon(i); err != nil {
		t.Fatal(err)
	}
	if err := deployment.WaitServing(context.Background(), i); err != nil {
		t.Fatal(err)
	}
}

// A daemon that gets SIGTERM under load must answer every request that reached it
// before its listener closed, and must exit with status 0.
func TestPlannedStop(t *testing.T) {
	during(t, []int{0, 1}, func() {
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 2 * time.Millisecond)
				a, err := harness.Query(harness.CallerAddress(2), "slot-finder", `{}`, "", 2*time.Second)
				// The daemon closes its listener 300 ms (DRAIN_DELAY) after the signal.
				// Requests from number 150 on start in the last 100 ms before that, so
				// they may fail. A load balancer would send nothing to a closed listener.
				if i < 150 && (err != nil || a.Status != 200) {
					t.Errorf("request %d got no answer with status 200: error %v, answer %+v", i, err, a)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		_ = deployment.Signal(harness.DaemonID(2), syscall.SIGTERM)
		wg.Wait()
	})
	code, err := deployment.Wait(harness.DaemonID(2), 30*time.Second)
	if err != nil || code != 0 {
		t.Fatalf("exit code %d, error %v", code, err)
	}
	restart(t, 2)
}

// While the store is down, queries must still be answered. A request with an idempotency
// key must be refused with the outcome unknown.
func TestStoreDown(t *testing.T) {
	during(t, []int{0, 1, 2}, func() { _ = harness.SetFaults(harness.PlatformAddress(), map[string]any{"down": true}) })
	a, err := harness.Query(harness.CallerAddress(0), "book", `{}`, "key-down", 500*time.Millisecond)
	if err != nil || a.Status != 503 || a.Outcome != "unknown" {
		t.Fatalf("error %v, answer %+v", err, a)
	}
	if err := harness.SetFaults(harness.PlatformAddress(), map[string]any{}); err != nil {
		t.Fatal(err)
	}
}

// Copies of a request with the same idempotency key arrive through several daemons. Each
// group must run the request once, and the later copies must get the answer of the first
// copy.
func TestKeyThroughTwoDaemons(t *testing.T) {
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			a, err := harness.Query(harness.CallerAddress(i%3), "book", `{"room":1}`, "key-1", 2*time.Second)
			if err != nil || a.Status != 200 || a.Coverage.Answered != groups {
				t.Errorf("error %v, answer %+v", err, a)
			}
		})
	}
	wg.Wait()
	for g := range groups {
		executions := 0
		for r := range harness.DataCentres {
			var executionsByKey map[string]int
			if err := harness.GetJSON("http://"+harness.ServerAddress(g, r)+"/ledger", &executionsByKey); err != nil {
				t.Fatal(err)
			}
			executions += executionsByKey["key-1"]
		}
		if executions != 1 {
			t.Errorf("group %d ran the request %d times", g, executions)
		}
	}
}

// A request crashes every server that runs it. It may crash at most one server of each
// group, and a resend through any daemon must be refused. Other queries must still be
// answered afterwards.
func TestRequestThatCrashesServers(t *testing.T) {
	for g := range groups {
		for r := range harness.DataCentres {
			if err := harness.SetFaults(harness.ServerAddress(g, r), map[string]any{"crash_on": "poison"}); err != nil {
				t.Fatal(err)
			}
		}
	}
	a, err := harness.Query(harness.CallerAddress(0), "slot-finder", `{"q":"poison"}`, "", time.Second)
	if err != nil || a.Type != "urn:godwithatch:problem:request_quarantined" || a.Outcome != "unknown" {
		t.Fatalf("error %v, answer %+v", err, a)
	}
	time.Sleep(time.Second)
	for i := range 3 {
		a, err = harness.Query(harness.CallerAddress(i), "slot-finder", `{"q":"poison"}`, "", time.Second)
		if err != nil || a.Outcome != "not_run" {
			t.Fatalf("the resend was not refused: error %v, answer %+v", err, a)
		}
	}
	for g := range groups {
		crashed := 0
		for r := range harness.DataCentres {
			if _, err := deployment.Wait(harness.ServerID(g, r), 10*time.Millisecond); err == nil {
				crashed++
				if err := deployment.StartServer(g, r); err != nil {
					t.Fatal(err)
				}
			}
		}
		if crashed > 1 {
			t.Errorf("%d servers of group %d crashed", crashed, g)
		}
	}
	during(t, []int{0, 1, 2}, func() {})
}
