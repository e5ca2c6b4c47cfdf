// Command demo runs a scaled-down Island Escape Room deployment: the platform,
// the servers of four groups in three data centres, and three daemons, all as
// separate processes. It kills a server, then a daemon, and prints latencies and lost
// answers for each phase. It stops all processes before it exits.
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
	groups = 4
	// queries is the number of queries in each phase.
	queries     = 300
	concurrency = 6
)

func main() { os.Exit(startAndRun()) }

func startAndRun() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := harness.Start(ctx, harness.Options{Daemons: 3, Groups: groups, SubsetSize: 1, ServiceTime: 4 * time.Millisecond})
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
	fmt.Printf("\n%-34s %6s %8s %7s %8s %8s %8s\n", "phase", "sent", "complete", "partial", "p50 ms", "p95 ms", "p99 ms")
	lost := load("steady", []int{0, 1, 2})
	_ = d.Signal(harness.ServerID(0, 0), syscall.SIGKILL)
	lost += load("server "+harness.ServerID(0, 0)+" killed", []int{0, 1, 2})
	_ = d.Signal(harness.DaemonID(2), syscall.SIGKILL)
	lost += load("daemon "+harness.DaemonID(2)+" killed", []int{0, 1})
	if lost > 0 {
		fmt.Printf("\n%d answers were missing or partial\n", lost)
		return 1
	}
	fmt.Println("\nall answers were complete")
	return 0
}

// load sends the queries of one phase through the given daemons and prints a table row
// with the results. It returns the number of queries that failed or got a partial answer.
func load(name string, daemons []int) int {
	var mu sync.Mutex
	var latencies []time.Duration
	complete, partial, failed := 0, 0, 0
	var wg sync.WaitGroup
	for worker := range concurrency {
		wg.Go(func() {
			for i := range queries / concurrency {
				address := harness.CallerAddress(daemons[(worker+i)%len(daemons)])
				a, err := harness.Query(address, "slot-finder", fmt.Sprintf(`{"q":%d}`, i), "", time.Second)
				mu.Lock()
				switch {
				case err != nil || a.Status != 200:
					failed++
					fmt.Printf("  failed: %v %+v\n", err, a)
				case a.Coverage.Answered < a.Coverage.Total:
					partial++
				default:
					complete++
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
	quantileMs := func(q float64) float64 {
		return float64(latencies[int(q*float64(len(latencies)-1))].Microseconds()) / 1000
	}
	fmt.Printf("%-34s %6d %8d %7d %8.1f %8.1f %8.1f\n", name, complete+partial+failed, complete, partial, quantileMs(0.5), quantileMs(0.95), quantileMs(0.99))
	return failed + partial
}
