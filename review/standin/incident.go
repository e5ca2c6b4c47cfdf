//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	budgetRatio  = 0.2
	budgetSlack  = 56
	budgetWindow = 10 * time.Second
	// entryLife is the time after which the entry of a server that has crashed is removed.
	entryLife = 3600 * time.Millisecond
)

// restarted: all servers of the shards crash now and then, and start again at their
// addresses under new IDs, which is written to the store a second later.
func restarted(w *world) {
	addShards(w, func(int, *server) {})
	restartServers(w, 2*time.Second, func(round int) []*server { return w.servers }, time.Second)
	w.startAll()
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	results := w.load(ctx, 12, 60*time.Millisecond, sweep)
	extra := w.judgeBudget(results)
	w.printMetrics()
	w.end(extra, "%d requests sent, %d arrivals beyond the budget", len(results), extra)
}

// lateMisdirected: servers start again one after the other at their addresses under new
// IDs, and repeat one answer in four late, that to a request for another instance too. The
// sites have 3 in 100; the larger dose makes up for the few 421s of a short run.
func lateMisdirected(w *world) {
	garble := newDose(0.25)
	for i := range 6 {
		w.add(&server{
			id: fmt.Sprintf("i-venue-%d", i), service: "venue", zone: w.zones[i%3], capacity: 4, queue: 8,
			work:   func() time.Duration { return time.Duration(15+rand.IntN(30)) * time.Millisecond },
			echoes: func(status int) bool { return status == http.StatusOK },
			second: func() bool { return trouble && garble.draw() },
		})
	}
	route := deskRoute("read_only", "venue")
	route["max_attempts"] = 1
	w.configure([]map[string]any{route})
	restartServers(w, 500*time.Millisecond, func(round int) []*server { return w.servers[round%6 : round%6+1] }, 0)
	w.startAll()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	results := w.load(ctx, 8, 5*time.Millisecond, func(c *client) result {
		return c.send(http.MethodGet, "hufi27.example", "/goka902/2f", 3*time.Second, nil)
	})
	over := 0
	for _, x := range results {
		if runs := w.runsOf(x.id); len(runs) > 1 {
			over++
			w.note("ATTEMPTS %s ran at %v", x.id, runs)
		}
	}
	w.printMetrics()
	broken := 0
	if over > 3 {
		broken = over
	}
	w.end(broken, "%d requests sent, %d ran on more servers than max_attempts", len(results), over)
}

// restartServers restarts the servers that choose returns, once in each interval.
func restartServers(w *world, interval time.Duration, choose func(round int) []*server, entryDelay time.Duration) {
	go func() {
		time.Sleep(4 * time.Second)
		for round := 0; ; round++ {
			for _, s := range choose(round) {
				s.restart(w, round, entryDelay)
			}
			time.Sleep(max(interval, 5*entryDelay))
		}
	}()
}

// restart ends all connections of a server and gives it a new ID at its address. The old
// entry is removed after entryLife, the new one is written after entryDelay.
func (s *server) restart(w *world, round int, entryDelay time.Duration) {
	s.mu.Lock()
	old := s.id
	s.id = fmt.Sprintf("%s.%d", strings.SplitN(old, ".", 2)[0], round)
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	id := s.id
	s.mu.Unlock()
	w.note("restart  server %s is now %s", old, id)
	time.AfterFunc(entryLife, func() { w.store.remove("servers", old) })
	time.AfterFunc(entryDelay, func() {
		entry := s.entry("ready")
		entry["born"] = time.Now().UnixMilli()
		w.store.put("servers", id, entry)
	})
}

// judgeBudget returns by how many arrivals the services exceed the budget of repeats in
// their worst windows. An arrival that the server rejects counts too.
func (w *world) judgeBudget(results []result) int {
	first := map[string]map[string]bool{}
	extras := map[string][]time.Time{}
	w.mu.Lock()
	for id, arrivals := range w.arrivals {
		for _, a := range arrivals {
			service := a.server.service
			if first[service] == nil {
				first[service] = map[string]bool{}
			}
			if first[service][id] {
				extras[service] = append(extras[service], a.at)
			}
			first[service][id] = true
		}
	}
	w.mu.Unlock()
	total := 0
	for service, times := range extras {
		worst := 0
		for _, start := range times {
			requests, repeats := 0, 0
			for _, x := range results {
				if d := x.sentAt.Sub(start); d >= 0 && d < budgetWindow {
					requests++
				}
			}
			for _, t := range times {
				if d := t.Sub(start); d >= 0 && d < budgetWindow {
					repeats++
				}
			}
			worst = max(worst, repeats-int(budgetRatio*float64(requests))-budgetSlack)
		}
		if worst > 0 {
			w.note("BUDGET   %s gets %d arrivals beyond the budget in a window", service, worst)
			total += worst
		}
	}
	return total
}

// printMetrics prints the counters of the fronts that tell causes apart.
func (w *world) printMetrics() {
	for _, f := range w.fronts {
		r, err := http.Get("http://" + net.JoinHostPort(f.ip, "9464") + "/metrics")
		if err != nil {
			fmt.Println(f.name, err)
			continue
		}
		scanner := bufio.NewScanner(r.Body)
		for scanner.Scan() {
			line := scanner.Text()
			for _, name := range []string{"server_responses_total", "second_sends", "sends_total", "requests_total"} {
				if strings.HasPrefix(line, "godwithatch_"+name) && !strings.HasSuffix(line, " 0") {
					fmt.Println(f.name, line)
				}
			}
		}
		r.Body.Close()
	}
}
