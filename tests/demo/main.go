// Command demo runs a scaled-down Island Escape Room deployment: the platform,
// the servers of four groups in three data centres, and three daemons, all as
// separate processes. It kills a daemon and a server on the way and leaves
// nothing running.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/godwithatch/godwithatch/tests/harness"
)

const (
	groups      = 4
	queries     = 300
	concurrency = 6
)

func main() { os.Exit(demo()) }

func demo() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := harness.Start(ctx, harness.Options{Daemons: 3, Groups: groups, Subset: 1, Service: 4 * time.Millisecond})
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	defer d.Stop()
	return run(d)
}

func run(d *harness.Deployment) int {
	answer, err := harness.Query(harness.CallerAddress(0), "slot-finder", `{"day":"saturday","players":5}`, "", time.Second)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	fmt.Printf("one query through %s: snapshot %d, coverage %d of %d\n", harness.DaemonID(0), answer.Snapshot, answer.Coverage.Answered, answer.Coverage.Total)
	for _, r := range answer.Results {
		fmt.Printf("  shard %d: %s\n", r.Shard, r.Data)
	}
	fmt.Printf("\n%-34s %6s %8s %6s %8s %8s %8s\n", "case", "asked", "whole", "part", "p50 ms", "p95 ms", "p99 ms")
	lost := load("steady", []int{0, 1, 2})
	_ = d.Signal(harness.ServerID(0, 0), syscall.SIGKILL)
	lost += load("server "+harness.ServerID(0, 0)+" killed", []int{0, 1, 2})
	_ = d.Signal(harness.DaemonID(2), syscall.SIGKILL)
	lost += load("daemon "+harness.DaemonID(2)+" killed", []int{0, 1})
	if lost > 0 {
		fmt.Printf("\n%d answers were lost\n", lost)
		return 1
	}
	fmt.Println("\nno answer was lost")
	return 0
}

// load sends queries through some daemons and prints one row.
func load(name string, daemons []int) int {
	var mu sync.Mutex
	var latencies []time.Duration
	whole, part, failed := 0, 0, 0
	var wg sync.WaitGroup
	for worker := range concurrency {
		wg.Go(func() {
			for i := range queries / concurrency {
				at := harness.CallerAddress(daemons[(worker+i)%len(daemons)])
				a, err := harness.Query(at, "slot-finder", fmt.Sprintf(`{"q":%d}`, i), "", time.Second)
				mu.Lock()
				switch {
				case err != nil || a.Status != 200:
					failed++
					fmt.Printf("  failed: %v %+v\n", err, a)
				case a.Coverage.Answered < a.Coverage.Total:
					part++
				default:
					whole++
				}
				if err == nil {
					latencies = append(latencies, a.Latency)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	at := func(q float64) float64 {
		return float64(latencies[int(q*float64(len(latencies)-1))].Microseconds()) / 1000
	}
	fmt.Printf("%-34s %6d %8d %6d %8.1f %8.1f %8.1f\n", name, whole+part+failed, whole, part, at(0.5), at(0.95), at(0.99))
	return failed + part
}
