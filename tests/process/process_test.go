// Package process runs the product and the stand-ins as separate processes and
// breaks them for real: kills, freezes, silent connections, planned stops.
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
	d, err := harness.Start(context.Background(), harness.Options{Daemons: 3, Groups: groups, Subset: 1, Service: 4 * time.Millisecond})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	deployment = d
	code := m.Run()
	d.Stop()
	os.Exit(code)
}

// load sends queries through the given daemons until stop is closed and returns
// how many were sent and what went wrong.
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
					problems = append(problems, fmt.Sprintf("%d: %v %+v", host, err, a))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return sent, problems
}

// during loads the daemons while fn runs and wants every answer to be whole.
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
		t.Fatalf("%d of %d answers were lost, such as %s", len(problems), sent, problems[0])
	}
}

// hops returns how many requests a daemon passed to others.
func hops(t *testing.T) float64 {
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

func TestQueryCrossesTwoDaemons(t *testing.T) {
	before := hops(t)
	during(t, []int{0}, func() {})
	if hops(t) == before {
		t.Fatal("no request was passed to another daemon, although subsets are small")
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

// TestPlannedStop proves that a daemon that gets SIGTERM under load finishes
// every request that it was sent, and exits with 0.
func TestPlannedStop(t *testing.T) {
	during(t, []int{0, 1}, func() {
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 2 * time.Millisecond)
				a, err := harness.Query(harness.CallerAddress(2), "slot-finder", `{}`, "", 2*time.Second)
				// The balancer sends nothing to a daemon whose listener is closed,
				// which is so 300 ms after the signal.
				if i < 150 && (err != nil || a.Status != 200) {
					t.Errorf("request %d was cut off: %v %+v", i, err, a)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		_ = deployment.Signal(harness.DaemonID(2), syscall.SIGTERM)
		wg.Wait()
	})
	code, err := deployment.Wait(harness.DaemonID(2), 30*time.Second)
	if err != nil || code != 0 {
		t.Fatalf("exit code %d, %v", code, err)
	}
	restart(t, 2)
}

// TestStoreDown proves that queries are answered while the store is down, and
// that a keyed request is refused then with its outcome unknown.
func TestStoreDown(t *testing.T) {
	during(t, []int{0, 1, 2}, func() { _ = harness.Control(harness.PlatformAddress(), map[string]any{"down": true}) })
	a, err := harness.Query(harness.CallerAddress(0), "book", `{}`, "key-down", 500*time.Millisecond)
	if err != nil || a.Status != 503 || a.Outcome != "unknown" {
		t.Fatalf("%v %+v", err, a)
	}
	if err := harness.Control(harness.PlatformAddress(), map[string]any{}); err != nil {
		t.Fatal(err)
	}
}

// TestKeyThroughTwoDaemons proves that copies of a key through two daemons run
// once, and that the later one gets the answer of the first.
func TestKeyThroughTwoDaemons(t *testing.T) {
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			a, err := harness.Query(harness.CallerAddress(i%3), "book", `{"room":1}`, "key-1", 2*time.Second)
			if err != nil || a.Status != 200 || a.Coverage.Answered != groups {
				t.Errorf("%v %+v", err, a)
			}
		})
	}
	wg.Wait()
	for g := range groups {
		ran := 0
		for r := range harness.DataCentres {
			var ledger map[string]int
			if err := harness.GetJSON("http://"+harness.ServerAddress(g, r)+"/ledger", &ledger); err != nil {
				t.Fatal(err)
			}
			ran += ledger["key-1"]
		}
		if ran != 1 {
			t.Errorf("group %d ran the key %d times", g, ran)
		}
	}
}

// TestRequestThatCrashesServers proves that a request that crashes each server
// that runs it is stopped after one server of each group at the most, that a
// resend through another daemon is refused, and that other queries go on.
func TestRequestThatCrashesServers(t *testing.T) {
	for g := range groups {
		for r := range harness.DataCentres {
			if err := harness.Control(harness.ServerAddress(g, r), map[string]any{"crash_on": "poison"}); err != nil {
				t.Fatal(err)
			}
		}
	}
	a, err := harness.Query(harness.CallerAddress(0), "slot-finder", `{"q":"poison"}`, "", time.Second)
	if err != nil || a.Type != "urn:godwithatch:problem:request_quarantined" || a.Outcome != "unknown" {
		t.Fatalf("%v %+v", err, a)
	}
	time.Sleep(time.Second)
	for i := range 3 {
		a, err = harness.Query(harness.CallerAddress(i), "slot-finder", `{"q":"poison"}`, "", time.Second)
		if err != nil || a.Outcome != "not_run" {
			t.Fatalf("the resend was not refused: %v %+v", err, a)
		}
	}
	for g := range groups {
		down := 0
		for r := range harness.DataCentres {
			if _, err := deployment.Wait(harness.ServerID(g, r), 10*time.Millisecond); err == nil {
				down++
				if err := deployment.StartServer(g, r); err != nil {
					t.Fatal(err)
				}
			}
		}
		if down > 1 {
			t.Errorf("%d servers of group %d crashed", down, g)
		}
	}
	during(t, []int{0, 1, 2}, func() {})
}
