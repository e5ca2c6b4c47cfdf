// Package fleet chooses the server of each request from what this host has seen
// of the servers: nothing here does I/O or asks another host.
//
// # Usage
//
//	f := fleet.New(fleet.Place{Host: "kgn-1", Zone: "kgn-a", Region: "kingston"})
//	f.SetPeers(hosts)
//	f.LimitCold(map[string]fleet.ColdLimit{"slot-finder-3": {PerSecond: 45, Time: 3 * time.Second}})
//	f.Update(entries)
//	group := f.Group("slot-finder-3")
//	server := group.Pick(now, fleet.Ask{Tried: tried, Allows: route.AllowsRegion})
//	defer group.Done(server, fleet.Answered, latency, time.Now())
//
// The load patterns that it answers:
//   - every server pauses for a moment, each at its own time: a server with work
//     in flight and no reply for longer than usual is passed over until it answers;
//   - some servers turn slow, fail or fall silent: the moving averages of latency
//     and failures send work elsewhere, and fade so that real requests find out
//     when the server is well again;
//   - the nearest servers are full: distance is part of the expected time, so
//     work spills to other regions only when that is faster;
//   - servers come back cold, a whole data centre at once: each host keeps to its share
//     of what they bear.
//
// Weighed and left: health checks (priced, and they lie), a shared view of load
// between hosts (bytes between regions, and stale within one request's time).
package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

// Place is where this host runs.
type Place struct {
	Host   string
	Zone   string
	Region string
}

// Distance is how far a server is from this host.
type Distance int

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

const (
	// nearPrior, regionPrior and farPrior are the round trips assumed before a
	// connection has measured one; they follow the sheets of the deployments.
	nearPrior   = 500 * time.Microsecond
	regionPrior = 2 * time.Millisecond
	farPrior    = 30 * time.Millisecond
	// regionCost and farCost are added to the expected time of servers outside
	// the zone and the region: bytes between them are paid for.
	regionCost = 2 * time.Millisecond
	farCost    = 10 * time.Millisecond
)

// Fleet is what this host knows of all servers. It is safe for concurrent use.
type Fleet struct {
	place Place
	// isConnected reports whether an idle connection to an address is open; nil means
	// that connections cost nothing.
	isConnected func(address string) bool

	mu        sync.RWMutex
	groups    map[string]*Group
	servers   map[string]*Server
	evacuated map[string]bool
	// roundTrips are the shortest connects seen, by zone.
	roundTrips map[string]time.Duration
	// zones are the zones of addresses.
	zones map[string]string
	// coldLimits are what cold servers bear, by service; peers share that.
	coldLimits map[string]ColdLimit
	peers      []Peer
}

// New returns an empty Fleet of a host.
func New(place Place) *Fleet {
	return &Fleet{
		place:      place,
		groups:     map[string]*Group{},
		servers:    map[string]*Server{},
		roundTrips: map[string]time.Duration{},
	}
}

// CountConnections makes servers without an idle connection cost what it takes to
// open one. It is called before any Update.
func (f *Fleet) CountConnections(isConnected func(address string) bool) { f.isConnected = isConnected }

// Group returns the servers of a service. It is never nil; an unknown service
// has no servers.
func (f *Fleet) Group(service string) *Group {
	f.mu.RLock()
	g := f.groups[service]
	f.mu.RUnlock()
	if g != nil {
		return g
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(service)
}

// group returns or makes a Group. The caller holds mu.
func (f *Fleet) group(service string) *Group {
	g := f.groups[service]
	if g == nil {
		g = newGroup(service)
		f.groups[service] = g
	}
	return g
}

// Update takes in the believed entries and returns the addresses that no server
// uses any more.
func (f *Fleet) Update(entries []membership.Entry) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := map[string][]*Server{}
	servers := make(map[string]*Server, len(entries))
	addresses := make(map[string]string, len(entries))
	for _, e := range entries {
		s := f.servers[e.ID]
		if s == nil || s.entry().Born != e.Born || s.entry().Address != e.Address || s.entry().Service != e.Service {
			s = newServer(e, f.distance(e), f.place.Host)
			s.isConnected = f.isConnected
			s.roundTrip = f.roundTrip(e.Zone, s.distance)
			s.cold.terms = f.coldTerms(e.Service)
		}
		servers[e.ID] = s
		addresses[e.Address] = e.Zone
		f.group(e.Service).adopt(s, e)
		members[e.Service] = append(members[e.Service], s)
	}
	var unused []string
	for _, s := range f.servers {
		if addresses[s.entry().Address] == "" {
			unused = append(unused, s.entry().Address)
		}
	}
	f.servers, f.zones = servers, addresses
	for name, g := range f.groups {
		g.replace(members[name], f.evacuated)
	}
	return unused
}

// Evacuate sets the zones whose servers get nothing.
func (f *Fleet) Evacuate(zones map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = zones
	for _, g := range f.groups {
		g.evacuate(zones)
	}
}

// Connected records how long a connection to an address took to open. The
// shortest one to a zone is the round trip to it.
func (f *Fleet) Connected(address string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	zone, ok := f.zones[address]
	if !ok {
		return
	}
	if old, ok := f.roundTrips[zone]; ok && old <= took {
		return
	}
	f.roundTrips[zone] = took
	for _, x := range f.servers {
		if x.entry().Zone == zone {
			f.group(x.entry().Service).setRoundTrip(x, took)
		}
	}
}

func (f *Fleet) distance(e membership.Entry) Distance {
	switch {
	case e.Zone == f.place.Zone:
		return SameZone
	case e.Region == f.place.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

// roundTrip returns the measured or assumed round trip to a zone. The caller
// holds mu.
func (f *Fleet) roundTrip(zone string, d Distance) time.Duration {
	if rtt, ok := f.roundTrips[zone]; ok {
		return rtt
	}
	switch d {
	case SameZone:
		return nearPrior
	case SameRegion:
		return regionPrior
	default:
		return farPrior
	}
}

// Size returns the number of servers.
func (f *Fleet) Size() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.servers)
}

// randomOffset spreads the choice among servers that look the same.
func randomOffset(n int) int { return rand.IntN(n) }
