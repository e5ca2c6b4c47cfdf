// Command soak starts several processes of the front on loopback addresses, with
// stand-ins for the store and the servers. It injects faults from outside the fronts
// and checks their guarantees against what callers and servers observe.
//
// # Usage
//
//	go run ./tests/soak -seed 7 -seconds 30
//	go run ./tests/soak -failed
//
// The command prints how often each fault was injected and how often each check was
// made, and exits with status 1 if a check failed. It signals only processes that it
// started, by their process ids.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random faults")
	seconds := flag.Int("seconds", 20, "length of the run in seconds")
	fronts := flag.Int("fronts", 4, "number of front processes")
	binary := flag.String("binary", "", "program to run; built from the source if empty")
	failed := flag.Bool("failed", false, "rerun the seeds that have failed before")
	flag.Parse()
	hasViolations := false
	if *failed {
		for _, f := range failedSeeds {
			fmt.Printf("seed %d has failed before: %s\n", f.seed, f.cause)
			hasViolations = runSeed(f.seed, *fronts, *binary, *seconds) || hasViolations
		}
	} else {
		hasViolations = runSeed(*seed, *fronts, *binary, *seconds)
	}
	if hasViolations {
		os.Exit(1)
	}
}

// runSeed makes one run and reports whether a check failed.
func runSeed(seed uint64, fronts int, binary string, seconds int) bool {
	s, err := newSoak(seed, fronts, binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	s.run(time.Duration(seconds) * time.Second)
	hasViolations := s.finish()
	fmt.Print(s.report.text(seed))
	if hasViolations {
		fmt.Println("logs of the fronts:", s.dir)
		return true
	}
	os.RemoveAll(s.dir)
	return false
}
