// Command soak runs the real front as separate processes on loopback addresses, with
// stand-ins for the store and the servers, injects faults from outside, and checks
// the promises from what callers and servers see.
//
// # Usage
//
//	go run ./tests/soak -seed 7 -seconds 30
//	go run ./tests/soak -failed
//
// It ends with 1 if a promise was broken, and prints what was tried and how often
// each check was made. It ends only processes that it started, by their ids.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the faults")
	seconds := flag.Int("seconds", 20, "length of the run")
	fronts := flag.Int("fronts", 4, "number of front processes")
	binary := flag.String("binary", "", "program to run; built if empty")
	failed := flag.Bool("failed", false, "play the seeds that ever failed")
	flag.Parse()
	isBroken := false
	if *failed {
		for _, f := range failedSeeds {
			fmt.Printf("seed %d failed once: %s\n", f.seed, f.cause)
			isBroken = play(f.seed, *fronts, *binary, *seconds) || isBroken
		}
	} else {
		isBroken = play(*seed, *fronts, *binary, *seconds)
	}
	if isBroken {
		os.Exit(1)
	}
}

// play makes one run and reports whether a promise was broken.
func play(seed uint64, fronts int, binary string, seconds int) bool {
	s, err := newSoak(seed, fronts, binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	s.run(time.Duration(seconds) * time.Second)
	broken := s.finish()
	fmt.Print(s.report.text(seed))
	if broken {
		fmt.Println("logs of the fronts:", s.dir)
		return true
	}
	os.RemoveAll(s.dir)
	return false
}
