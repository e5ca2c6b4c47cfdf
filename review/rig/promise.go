//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// deskServers is the number of servers of the desk in each zone.
	deskServers = 3
	// deskPerSecond is the number of bookings a second from the clients of a zone.
	deskPerSecond = 15
	// failShare is the share of its requests that the failing server fails, and failTime the
	// time for which it does.
	failShare = 0.45
	failTime  = 6500 * time.Millisecond
)

// startDesk starts the servers of one service and writes a configuration with a route of the
// given type to it.
func startDesk(r *rig, kind string) []*server {
	var servers []*server
	for z, zone := range r.zones {
		for n := range deskServers {
			s := &server{rig: r, id: fmt.Sprintf("i-%s-%d", zone.name, n+1), service: "desk", zone: zone.name, slots: 2, work: 20 * time.Millisecond, isRecorded: true}
			s.begin(fmt.Sprintf("127.61.%d.%d", z+1, n+1), false, time.Now())
			servers = append(servers, s)
		}
	}
	r.configure([]map[string]any{{
		"name": "desk", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 0.0,
	}}, map[string]any{
		"name": "book", "host": host, "path_prefix": "/book/", "type": kind, "timeout_ms": 3000, "target_latency_ms": 600,
		"priority": 1, "service": "desk", "max_attempts": 2, "allowed_regions": []string{},
	})
	return servers
}

// playPromise: a server fails a part of its requests with 503 after it has run them.
func playPromise(r *rig, hasTrouble bool) string {
	servers := startDesk(r, "non_idempotent")
	r.startAll()
	time.Sleep(2 * time.Second)
	c := newClients(r, "/book/")
	c.isUnsafe, c.timeout = true, 3*time.Second
	var mu sync.Mutex
	attempts, promised := map[int64][]string{}, []string{}
	c.observe = func(n int64, id string, status int) {
		mu.Lock()
		defer mu.Unlock()
		attempts[n] = append(attempts[n], id)
		if isPromise(status) {
			promised = append(promised, id)
		}
	}
	for _, zone := range r.zones {
		c.run(zone.name, deskPerSecond)
	}
	time.Sleep(2 * time.Second)
	if hasTrouble {
		servers[0].setFailure(failShare, http.StatusServiceUnavailable)
		r.log("%s begins to fail %v of its requests", servers[0].id, failShare)
	}
	time.Sleep(failTime)
	servers[0].setFailure(0, 0)
	time.Sleep(2 * time.Second)
	c.close()
	hasRun := func(id string) bool {
		return slices.ContainsFunc(servers, func(s *server) bool { return s.hasRun(id) })
	}
	broken, twice := 0, 0
	for _, id := range promised {
		if hasRun(id) {
			r.log("%s was answered with a promise and has run", id)
			broken++
		}
	}
	for n, ids := range attempts {
		if len(ids) > 1 && hasRun(ids[0]) && hasRun(ids[1]) {
			r.log("booking %d has run twice, as %v", n, ids)
			twice++
		}
	}
	r.log("%d answers promised that the request has not run, %d of them had run; %d bookings ran twice", len(promised), broken, twice)
	if broken == 0 {
		return ""
	}
	return fmt.Sprintf("REFUSED: %d requests that are not idempotent were answered 503 and had run; their clients sent them again, and %d bookings ran twice", broken, twice)
}
