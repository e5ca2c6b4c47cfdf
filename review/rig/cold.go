//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// shards is the number of shards of the route, as in the deployment jeroa-find. Each has
	// one server in each zone.
	shards = 10
	// zonePerSecond is the number of requests a second from the clients of a zone; each goes
	// to all shards.
	zonePerSecond = 60
	// coldPerSecond is the number of requests a second that a cold server tolerates, and
	// coldTime the time for which a server is cold after its start.
	coldPerSecond = 15
	coldTime      = 3 * time.Second
	// downTime is the time for which the servers of the first shard are down, and spread the
	// time within which they start again.
	downTime = 1200 * time.Millisecond
	spread   = 400 * time.Millisecond
)

// startShards starts the servers of all shards and writes the first configuration. It leaves
// the first server out, which comes later, if skipsFirst is set.
func startShards(r *rig, coldPerSecond float64, skipsFirst bool) []*server {
	var names []string
	var services []map[string]any
	var servers []*server
	for n := range shards {
		name := fmt.Sprintf("finder-%d", n+1)
		names = append(names, name)
		services = append(services, map[string]any{
			"name": name, "health_path": "/healthz", "max_connections": 31, "protocol": "h1", "tls": false,
			"cold_start_s": coldTime.Seconds(), "cold_per_s": coldPerSecond,
		})
		for z, zone := range r.zones {
			s := &server{
				rig: r, id: fmt.Sprintf("i-%s-%d", zone.name, n+1), service: name, zone: zone.name, slots: 3,
				work: 5 * time.Millisecond, coldTime: coldTime, coldFactor: 1.6, isRecorded: n == 0,
			}
			if len(servers) > 0 || !skipsFirst {
				s.begin(fmt.Sprintf("127.61.%d.%d", z+1, n+1), false, time.Now())
			}
			servers = append(servers, s)
		}
	}
	r.configure(services, map[string]any{
		"name": "sweep", "host": host, "path_prefix": "/sweep/", "type": "read_only", "timeout_ms": 1200, "target_latency_ms": 200,
		"priority": 1, "gather": names, "max_attempts": 2, "top_k": 10, "min_shard_ratio": 0.89, "allowed_regions": []string{},
	})
	return servers
}

// playCold: all servers of one shard crash, and start again, cold, under the IDs that they had.
func playCold(r *rig, hasTrouble bool) string {
	servers := startShards(r, coldPerSecond, false)
	r.startAll()
	time.Sleep(3 * time.Second)
	c := newClients(r, "/sweep/")
	for _, zone := range r.zones {
		c.run(zone.name, zonePerSecond)
	}
	time.Sleep(5 * time.Second)
	hit := servers[:len(r.zones)]
	var back []time.Time
	if hasTrouble {
		for _, s := range hit {
			s.crash()
		}
		time.Sleep(downTime)
		for _, s := range hit {
			back = append(back, time.Now())
			s.begin("", true, time.Now())
			time.Sleep(spread / time.Duration(len(hit)))
		}
	}
	time.Sleep(coldTime + 500*time.Millisecond)
	c.close()
	const bound = coldPerSecond*coldOverage + coldSlack
	broken := ""
	for n, from := range back {
		s := hit[n]
		most, at := s.mostIn(time.Second, from, from.Add(coldTime))
		r.log("most in one second at %s while cold: %d, from %.4f, bound %v", s.id, most, at.Sub(r.start).Seconds(), bound)
		if float64(most) > bound {
			broken += fmt.Sprintf("FAILBACK: the cold server %s got %d requests in one second, the bound is %v. ", s.id, most, bound)
		}
	}
	return broken
}
