// Package fleet chooses the server for each request from what this host has observed of
// the servers. The package does no I/O and does not consult other hosts.
//
// Typical use:
//
//	f := fleet.New(fleet.Locality{Host: "kgn-1", DataCentre: "kgn-a", Region: "kingston"})
//	f.SetPeers(hosts)
//	f.SetColdLimits(map[string]fleet.ColdLimit{"slot-finder-3": {PerSecond: 45, Time: 3 * time.Second}})
//	f.Update(entries)
//	group := f.Group("slot-finder-3")
//	server := group.Pick(now, fleet.Filter{Tried: tried, AllowsRegion: route.AllowsRegion})
//	defer group.Done(server, fleet.Answered, latency, time.Now())
//
// The choice handles these load patterns:
//   - Every server pauses for a moment from time to time, independently of the others. A
//     server that has requests in flight and has not replied for longer than usual is
//     avoided until it answers.
//   - Some servers become slow, fail or stop replying. The moving averages of latency and
//     failures shift requests to other servers. They decay while a server receives no
//     requests, so that it is tried again and its recovery is noticed by real requests.
//   - The nearest servers are full. Distance is part of the expected cost, so requests
//     go to other regions only when that is faster.
//   - All servers of a data centre start or become reachable at once and are cold: with
//     empty caches they can bear only a low request rate. Each host keeps to its share
//     of that rate.
//
// Two alternatives were rejected. Health checks have a cost, and their results can be
// wrong. Exchanging the load of the servers between hosts costs bytes between regions,
// and the data is out of date within the duration of one request.
package fleet

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

// Locality identifies this host and where it runs.
type Locality struct {
	Host       string
	DataCentre string
	Region     string
}

// Distance classifies how far a server is from this host.
type Distance int

// Distances, from the nearest to the farthest.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

const (
	// defaultNearRoundTrip, defaultRegionRoundTrip and defaultFarRoundTrip are the
	// round-trip times assumed for a server until the time for opening a connection to
	// its data centre has been measured. They are the times that the descriptions of the
	// users' deployments state.
	defaultNearRoundTrip   = 500 * time.Microsecond // same data centre
	defaultRegionRoundTrip = 2 * time.Millisecond   // same region
	defaultFarRoundTrip    = 30 * time.Millisecond  // another region
	// sameRegionCost and otherRegionCost are added to the expected cost of servers
	// outside this host's data centre, because traffic between data centres and between
	// regions is billed.
	sameRegionCost  = 2 * time.Millisecond  // another data centre of the same region
	otherRegionCost = 10 * time.Millisecond // another region
)

// Fleet holds what this host knows of all servers. It is safe for concurrent use.
type Fleet struct {
	locality Locality
	// isConnected reports whether an idle connection to an address is open. If
	// isConnected is nil, the cost of opening connections is not taken into account.
	isConnected func(address string) bool

	mu        sync.RWMutex
	groups    map[string]*Group
	servers   map[string]*Server
	evacuated map[string]bool
	// roundTrips are the shortest times observed for opening a connection, by data
	// centre.
	roundTrips map[string]time.Duration
	// dataCentres are the data centres of the servers, by server address.
	dataCentres map[string]string
	// coldLimits are the limits on requests to cold servers, by service. The peers share
	// each limit.
	coldLimits map[string]ColdLimit
	peers      []Peer
	// extraSendRatio is the number of extra sends that the hosts together may make for each
	// request of a service, and extraSendSlack the number beyond these; 0 if it is not known.
	extraSendRatio, extraSendSlack float64
	// isRestarted means that an earlier process of this host may have used its part of the
	// extra sends up.
	isRestarted bool
}

// New returns an empty Fleet for the host at locality.
func New(locality Locality) *Fleet {
	return &Fleet{
		locality:   locality,
		groups:     map[string]*Group{},
		servers:    map[string]*Server{},
		roundTrips: map[string]time.Duration{},
	}
}

// SetConnectionCheck sets the function that reports whether an idle connection to an
// address is open. The expected cost of a server without an idle connection then includes
// the time to open one. SetConnectionCheck must be called before the first Update.
func (f *Fleet) SetConnectionCheck(isConnected func(address string) bool) {
	f.isConnected = isConnected
}

// SetExtraSendLimit sets the number of extra sends that all hosts together may make for each
// request of a service, and beyond these the slack, which the peers share. 0 means that the
// number is not known. SetExtraSendLimit must be called before the first Update.
func (f *Fleet) SetExtraSendLimit(ratio, slack float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extraSendRatio, f.extraSendSlack = ratio, slack
}

// SetRestarted states whether this host may have run before. If so, its budgets for extra
// sends start empty: otherwise a host that is killed again and again would spend its part
// of the slack with each start. SetRestarted must be called before the first Update.
func (f *Fleet) SetRestarted(isRestarted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isRestarted = isRestarted
}

// applyExtraSendBurst passes this host's part of the slack on to all groups. The caller
// holds mu.
func (f *Fleet) applyExtraSendBurst() {
	burst := extraSendBurstOf(f.extraSendSlack, len(f.peers))
	for _, g := range f.groups {
		g.extraSends.SetBurst(burst)
	}
}

// Group returns the Group of a service. It never returns nil: the Group of an unknown
// service has no servers.
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

// group returns the Group of a service and creates it if necessary. The caller holds mu.
func (f *Fleet) group(service string) *Group {
	g := f.groups[service]
	if g == nil {
		g = newGroup(service, cmp.Or(f.extraSendRatio, extraSendRatio))
		g.extraSends.SetBurst(extraSendBurstOf(f.extraSendSlack, len(f.peers)))
		if f.isRestarted {
			g.extraSends.Drain()
		}
		f.groups[service] = g
	}
	return g
}

// Update replaces the servers by those in entries. It returns the addresses of former
// servers that no current server uses.
func (f *Fleet) Update(entries []membership.Entry) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := map[string][]*Server{}
	servers := make(map[string]*Server, len(entries))
	addresses := make(map[string]string, len(entries))
	for _, e := range entries {
		s := f.servers[e.ID]
		if s == nil || s.entry().StartUnixMs != e.StartUnixMs || s.entry().Address != e.Address || s.entry().Service != e.Service {
			s = newServer(e, f.distance(e), f.locality.Host)
			s.isConnected = f.isConnected
			s.roundTrip = f.roundTrip(e.DataCentre, s.distance)
			s.cold.policy = f.coldServerPolicy(e.Service)
		}
		servers[e.ID] = s
		addresses[e.Address] = e.DataCentre
		f.group(e.Service).updateEntry(s, e)
		members[e.Service] = append(members[e.Service], s)
	}
	var unused []string
	for _, s := range f.servers {
		if addresses[s.entry().Address] == "" {
			unused = append(unused, s.entry().Address)
		}
	}
	f.servers, f.dataCentres = servers, addresses
	for name, g := range f.groups {
		g.setServers(members[name], f.evacuated)
	}
	return unused
}

// Evacuate sets the data centres whose servers receive no requests.
func (f *Fleet) Evacuate(dataCentres map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = dataCentres
	for _, g := range f.groups {
		g.setEvacuatedDataCentres(dataCentres)
	}
}

// ObserveConnect records the time that opening a connection to an address took. The
// shortest such time for a data centre is taken as the round-trip time to that data
// centre.
func (f *Fleet) ObserveConnect(address string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	dataCentre, ok := f.dataCentres[address]
	if !ok {
		return
	}
	if old, ok := f.roundTrips[dataCentre]; ok && old <= took {
		return
	}
	f.roundTrips[dataCentre] = took
	for _, x := range f.servers {
		if x.entry().DataCentre == dataCentre {
			f.group(x.entry().Service).setRoundTrip(x, took)
		}
	}
}

func (f *Fleet) distance(e membership.Entry) Distance {
	switch {
	case e.DataCentre == f.locality.DataCentre:
		return SameDataCentre
	case e.Region == f.locality.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

// roundTrip returns the measured or assumed round-trip time to a data centre. The
// caller holds mu.
func (f *Fleet) roundTrip(dataCentre string, d Distance) time.Duration {
	if rtt, ok := f.roundTrips[dataCentre]; ok {
		return rtt
	}
	switch d {
	case SameDataCentre:
		return defaultNearRoundTrip
	case SameRegion:
		return defaultRegionRoundTrip
	default:
		return defaultFarRoundTrip
	}
}

// Size returns the number of servers.
func (f *Fleet) Size() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.servers)
}

// randomOffset returns a random index below n. The search for a server starts at this
// index, so that requests spread over servers of equal cost.
func randomOffset(n int) int { return rand.IntN(n) }
