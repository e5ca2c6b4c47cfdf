// Package balance chooses the server for each request and the host that sends the
// request to it.
//
// A Fleet holds what this host knows of each server. Fleet.Build combines this knowledge
// with the configuration and the live hosts into a View. The request path loads the View
// atomically and chooses a server for one shard:
//
//	fleet := balance.NewFleet("kingston-1", "kingston", policy)
//	view := fleet.Build(configuration, hosts)
//	snapshot := view.Pool("slot-finder").Snapshot()
//	choice, ok := snapshot.Choose(shard, tried)
//	defer choice.Tracker().Release()
//
// Each server has a subset: an ordered list of the hosts that may send requests to it.
// Rendezvous hashing determines the order, with the hosts of the server's data centre
// first. A host's rank is its position in the subset. A server that has just started,
// failed or shed load ramps up. Its level, which limits the requests that all hosts
// together have in flight at the server, is low at first and grows with successful
// requests. The level is divided into a share for each host of the subset, and a low
// level gives a share only to the first hosts of the subset. A host without a share
// forwards its requests to a host with a share. Hosts exchange the levels in Knowledge
// records. The epoch and the sequence number of a record tell which of two records is
// newer, so that every host keeps the newest record of each server.
package balance

import (
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// Host holds the ID and the data centre of a live host. Both determine the host's rank
// among the hosts that may send requests to a server (the server's subset).
type Host struct {
	id         string
	dataCentre string
}

// NewHost returns a Host with an ID and the name of its data centre.
func NewHost(id, dataCentre string) Host { return Host{id, dataCentre} }

// ID returns the host's ID.
func (h Host) ID() string { return h.id }

// DataCentre returns the name of the host's data centre.
func (h Host) DataCentre() string { return h.dataCentre }

// Policy configures how a Fleet chooses servers. NewFleet replaces unset fields by
// defaults.
type Policy struct {
	// SubsetSize is the maximum number of hosts that may send requests to one server; 0
	// means all hosts.
	SubsetSize int
	// HedgeShare is the maximum number of extra sends (backup requests and probes) per
	// regular request.
	HedgeShare float64
	// HedgeBurst is the maximum number of extra sends in one burst.
	HedgeBurst int
	// Chooser picks the replica for each request; nil means LeastCompletion. The other
	// Choosers are for baseline measurements.
	Chooser Chooser
	// NoAdaptiveLimits disables the two limits that adapt to a server's answers: each
	// host's window (the limit on its own requests in flight at the server) and the
	// server's level (the limit on the requests of all hosts together while the server
	// ramps up). It is for baseline measurements.
	NoAdaptiveLimits bool
	// HedgeQuantile, if not 0, is the quantile of the pool's latencies that is used as
	// the hedge delay. The number of extra sends is then not limited. It is for baseline
	// measurements. If HedgeQuantile is 0, HedgeShare determines the delay and the
	// budget of extra sends.
	HedgeQuantile float64
	// NoHedge disables backup requests and probes, for baseline measurements.
	NoHedge bool
}

// Fleet holds what one host knows of all servers. It is safe for concurrent use.
type Fleet struct {
	self       string
	dataCentre string
	policy     Policy
	mu         sync.Mutex
	trackers   map[string]*Tracker
	poolLoads  map[string]*PoolLoad
	changed    chan struct{}
	// buildMu serialises calls of Build and guards subsets.
	buildMu sync.Mutex
	subsets subsets
}

// NewFleet returns the Fleet of the host self, which is in the given data centre.
func NewFleet(self, dataCentre string, policy Policy) *Fleet {
	if policy.Chooser == nil {
		policy.Chooser = LeastCompletion{}
	}
	if policy.HedgeShare == 0 && !policy.NoHedge {
		policy.HedgeShare = 0.02
	}
	if policy.HedgeBurst == 0 {
		policy.HedgeBurst = 10
	}
	return &Fleet{
		self:       self,
		dataCentre: dataCentre,
		policy:     policy,
		trackers:   map[string]*Tracker{},
		poolLoads:  map[string]*PoolLoad{},
		changed:    make(chan struct{}, 1),
		subsets:    subsets{maxHosts: policy.SubsetSize},
	}
}

// Changed returns a channel that receives a value when a server's state has changed in a
// way that requires a new View.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

func (f *Fleet) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Tracker returns the tracker of the server with the given ID, or nil if there is none.
func (f *Fleet) Tracker(id string) *Tracker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.trackers[id]
}

// Trackers returns the trackers of all servers.
func (f *Fleet) Trackers() []*Tracker {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*Tracker, 0, len(f.trackers))
	for _, t := range f.trackers {
		list = append(list, t)
	}
	return list
}

// tracker returns the tracker of a server, and creates one if the server is new or its
// address has changed.
func (f *Fleet) tracker(u *table.Upstream, load *PoolLoad) *Tracker {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.trackers[u.ID()]
	if t == nil || t.upstream.Address() != u.Address() {
		t = newTracker(u, load, f.notify)
		f.trackers[u.ID()] = t
	}
	return t
}

func (f *Fleet) poolLoad(p *table.Pool) *PoolLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.poolLoads[p.Name()]
	if l == nil {
		l = newPoolLoad(f.policy)
		f.poolLoads[p.Name()] = l
	}
	return l
}

// serversOf returns the servers of all pools by ID.
func serversOf(t *table.Tables) map[string]*table.Upstream {
	servers := make(map[string]*table.Upstream, t.UpstreamCount())
	for _, p := range t.Pools() {
		for _, u := range p.Upstreams() {
			servers[u.ID()] = u
		}
	}
	return servers
}

// removeUnconfigured removes the trackers of servers and the PoolLoads of pools that are
// no longer in the configuration.
func (f *Fleet) removeUnconfigured(t *table.Tables, servers map[string]*table.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.trackers {
		if servers[id] == nil {
			delete(f.trackers, id)
		}
	}
	for name := range f.poolLoads {
		if t.Pool(name) == nil {
			delete(f.poolLoads, name)
		}
	}
}

// Tick updates the limits of all servers and decays the latencies of all pools. A
// controller calls it about ten times a second.
func (f *Fleet) Tick(now time.Time) {
	f.mu.Lock()
	loads := make([]*PoolLoad, 0, len(f.poolLoads))
	for _, l := range f.poolLoads {
		loads = append(loads, l)
	}
	f.mu.Unlock()
	for _, l := range loads {
		l.tick(now)
	}
	for _, t := range f.Trackers() {
		t.tick(now)
	}
}

// Merge replaces this host's record of a server by the record k of another host if k is
// newer, and reports whether it did.
func (f *Fleet) Merge(k Knowledge) bool {
	t := f.Tracker(k.Server)
	if t == nil {
		return false
	}
	return t.mergeKnowledge(k)
}

// AddSuccessReports adds the successful requests that other hosts report to this host's
// count of successes of each server.
func (f *Fleet) AddSuccessReports(list []SuccessReport) {
	for _, r := range list {
		if t := f.Tracker(r.Server); t != nil {
			t.addSuccesses(r)
		}
	}
}

// ObserveState records the state that a server reports about itself.
func (f *Fleet) ObserveState(id string, s upstream.State) {
	if t := f.Tracker(id); t != nil {
		t.observeState(s)
	}
}
