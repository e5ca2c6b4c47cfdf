// Package balance decides which host sends a request to which server.
//
// # Usage
//
// A Fleet keeps what this host knows of each server. A View joins it with the
// configuration and the live hosts; the request path reads the View by one
// atomic load and chooses a server for one shard:
//
//	fleet := balance.NewFleet("kingston-1", "kingston", settings)
//	view := fleet.Build(configuration, hosts)
//	snapshot := view.Pool("slot-finder").Snapshot()
//	choice, ok := snapshot.Choose(shard, tried)
//	defer choice.Tracker().Release(...)
//
// Each server has an ordered subset of hosts, by rendezvous hashing with its
// own DataCentre first. A server that has just started, fallen or shed is
// limited to a few requests at once, which only the first hosts of the order
// may send. The limit grows on successes. Hosts outside pass their requests to
// one inside. Limits travel between hosts as Knowledge, ordered by epoch and
// sequence, so that every host keeps the newest.
package balance

import (
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// Host is a live host of the system, as the order of subsets needs it.
type Host struct {
	id string
	dc string
}

// NewHost returns a Host.
func NewHost(id, dc string) Host { return Host{id, dc} }

// ID returns the identity of the host.
func (h Host) ID() string { return h.id }

// DataCentre returns the DataCentre of the host.
func (h Host) DataCentre() string { return h.dc }

// Policy holds the parameters of the decisions. The zero value is completed by
// defaults.
type Policy struct {
	// Subset is how many hosts may talk to one server; 0 means all.
	Subset int
	// HedgeShare is the share of requests that may be sent a second time.
	HedgeShare float64
	// HedgeBurst is how many backup requests may follow each other at once.
	HedgeBurst int
	// Chooser replaces the choice of a replica, for baselines.
	Chooser Chooser
	// Direct turns off the limit of servers that started or fell, for
	// baselines.
	Direct bool
	// HedgeAfter is a fixed quantile after which every request is sent a second
	// time without a budget, for baselines; 0 means the budget decides.
	HedgeAfter float64
	// NoHedge turns off backup requests and probes, for baselines.
	NoHedge bool
}

// Fleet is what one host knows of all servers. It is safe for concurrent use.
type Fleet struct {
	self     string
	dc       string
	policy   Policy
	mu       sync.Mutex
	trackers map[string]*Tracker
	loads    map[string]*PoolLoad
	changed  chan struct{}
	// buildMu lets one Build run at a time; subsets belong to it.
	buildMu sync.Mutex
	subsets subsets
}

// NewFleet returns the Fleet of the host self in a DataCentre.
func NewFleet(self, dc string, policy Policy) *Fleet {
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
		self:     self,
		dc:       dc,
		policy:   policy,
		trackers: map[string]*Tracker{},
		loads:    map[string]*PoolLoad{},
		changed:  make(chan struct{}, 1),
		subsets:  subsets{length: policy.Subset},
	}
}

// Changed receives a value after knowledge changed in a way that calls for a
// new View.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

func (f *Fleet) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Tracker returns the tracker of a server by its ID, or nil.
func (f *Fleet) Tracker(id string) *Tracker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.trackers[id]
}

// Trackers returns all trackers.
func (f *Fleet) Trackers() []*Tracker {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*Tracker, 0, len(f.trackers))
	for _, t := range f.trackers {
		list = append(list, t)
	}
	return list
}

// tracker returns the tracker of a server and makes one for a server that is
// new or has moved to another address.
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

func (f *Fleet) load(p *table.Pool) *PoolLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.loads[p.Name()]
	if l == nil {
		l = newPoolLoad(f.policy)
		f.loads[p.Name()] = l
	}
	return l
}

// serversOf returns the servers of all pools by their identity.
func serversOf(t *table.Tables) map[string]*table.Upstream {
	servers := make(map[string]*table.Upstream, t.UpstreamCount())
	for _, p := range t.Pools() {
		for _, u := range p.Upstreams() {
			servers[u.ID()] = u
		}
	}
	return servers
}

// forget removes trackers of servers that are in no pool any more.
func (f *Fleet) forget(t *table.Tables, servers map[string]*table.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.trackers {
		if servers[id] == nil {
			delete(f.trackers, id)
		}
	}
	for name := range f.loads {
		if t.Pool(name) == nil {
			delete(f.loads, name)
		}
	}
}

// Tick lets limits grow and old observations fade. A controller calls it about
// ten times a second.
func (f *Fleet) Tick(now time.Time) {
	f.mu.Lock()
	loads := make([]*PoolLoad, 0, len(f.loads))
	for _, l := range f.loads {
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

// Learn takes in knowledge of another host and reports whether it was newer.
func (f *Fleet) Learn(k Knowledge) bool {
	t := f.Tracker(k.Server)
	if t == nil {
		return false
	}
	return t.learn(k)
}

// LearnCredits counts successes that other hosts had.
func (f *Fleet) LearnCredits(list []Credit) {
	for _, c := range list {
		if t := f.Tracker(c.Server); t != nil {
			t.addCredit(c)
		}
	}
}

// Observed takes in what a server said of itself.
func (f *Fleet) Observed(id string, s upstream.State) {
	if t := f.Tracker(id); t != nil {
		t.observeState(s)
	}
}
