package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// maxShards is the largest total number of shards of a snapshot that is accepted in the
// report of a server.
const maxShards = 1 << 16

// View combines the configuration, the live hosts and what this host knows of the
// servers. A View is immutable, except for the Trackers that it refers to: they hold the
// present state of the servers.
type View struct {
	configuration *table.Configuration
	pools         map[string]*PoolView
}

// Configuration returns the configuration of the view, or nil.
func (v *View) Configuration() *table.Configuration {
	if v == nil {
		return nil
	}
	return v.configuration
}

// Pool returns the view of a pool, or nil.
func (v *View) Pool(name string) *PoolView {
	if v == nil {
		return nil
	}
	return v.pools[name]
}

// PoolView is one pool of a View.
type PoolView struct {
	pool      *table.Pool
	load      *PoolLoad
	snapshots []*SnapshotView
	trackers  []*Tracker
}

// Load returns this host's PoolLoad of the pool: the latencies, the budget of extra sends
// and the waiting requests.
func (p *PoolView) Load() *PoolLoad { return p.load }

// Pool returns the configuration of the pool.
func (p *PoolView) Pool() *table.Pool { return p.pool }

// warmShare is the fraction of a pool's servers that must have finished their ramp-up for
// the pool to count as warm. It is below 1 so that one failed server does not prevent the
// whole pool from counting as warm.
const warmShare = 0.75

// IsWarm reports whether at least warmShare of the pool's servers have finished their
// ramp-up.
func (p *PoolView) IsWarm() bool {
	full := lo.CountBy(p.trackers, func(t *Tracker) bool { return !t.isRamping.Load() || t.level.Load() >= FullLevel })
	return float64(full) >= warmShare*float64(len(p.trackers))
}

// SnapshotView is one snapshot of a pool with the replicas of each shard.
type SnapshotView struct {
	version     uint64
	policy      Policy
	load        *PoolLoad
	shards      [][]*Replica
	queues      []*WaitQueue
	heldShards  int
	minReplicas int
}

// Version returns the version of the snapshot.
func (s *SnapshotView) Version() uint64 { return s.version }

// ShardCount returns the number of shards of the snapshot.
func (s *SnapshotView) ShardCount() int { return len(s.shards) }

// HeldShards returns the number of shards that at least one server holds.
func (s *SnapshotView) HeldShards() int { return s.heldShards }

// Replicas returns the servers of a shard. The slice must not be modified.
func (s *SnapshotView) Replicas(shard int) []*Replica { return s.shards[shard] }

// linkReplicas gives the tracker of each server the trackers of all servers that hold the
// same shard of the snapshot.
func (s *SnapshotView) linkReplicas() {
	for _, replicas := range s.shards {
		trackers := lo.Map(replicas, func(r *Replica, _ int) *Tracker { return r.tracker })
		for _, t := range trackers {
			t.replicas.Store(&trackers)
		}
	}
}

// updateReferenceLatencies sets the reference latency of each server, with which the
// server's own latency is compared, to the latency of the fastest replica of its shard,
// or to the median latency of the pool if that is higher. If all replicas of a shard are
// slow, the cause is the shard's data, so none of the servers counts as slow.
func (s *SnapshotView) updateReferenceLatencies() {
	median := s.load.medianLatency.Load()
	for _, replicas := range s.shards {
		fastest := int64(0)
		for _, r := range replicas {
			if l := r.tracker.latency.Load(); l > 0 && (fastest == 0 || l < fastest) {
				fastest = l
			}
		}
		for _, r := range replicas {
			r.tracker.referenceLatency.Store(max(median, fastest))
		}
	}
}

// UpdateReferenceLatencies recomputes the reference latency of each server, with which
// the server's own latency is compared. A controller calls it about ten times a second.
func (v *View) UpdateReferenceLatencies() {
	if v == nil {
		return
	}
	for _, p := range v.pools {
		for _, s := range p.snapshots {
			s.updateReferenceLatencies()
		}
	}
}

// Queue returns the queue of requests that wait for a server of a shard.
func (s *SnapshotView) Queue(shard int) *WaitQueue { return s.queues[shard] }

// ExpectedWait estimates the time that a new request for a shard would wait for a server.
// By Little's law, the rate at which requests complete is the number in flight divided by
// their latency. The rate is not measured instead, because a past measurement would mean
// nothing after a period without load.
func (s *SnapshotView) ExpectedWait(shard int) time.Duration {
	waiting := s.queues[shard].Len()
	if waiting == 0 {
		return 0
	}
	inFlight := 1
	for _, r := range s.shards[shard] {
		inFlight += r.tracker.InFlight()
	}
	return time.Duration(waiting) * s.load.MedianLatency() / time.Duration(inFlight)
}

// ExpectedWaits returns the mean and the longest expected wait over all shards.
func (s *SnapshotView) ExpectedWaits() (mean, longest time.Duration) {
	for shard := range s.shards {
		wait := s.ExpectedWait(shard)
		mean += wait
		longest = max(longest, wait)
	}
	return mean / time.Duration(len(s.shards)), longest
}

// IsComplete reports whether every shard is held by at least one server.
func (s *SnapshotView) IsComplete() bool { return s.heldShards == len(s.shards) }

// Replica is a server that holds a shard.
type Replica struct {
	tracker    *Tracker
	otherHosts []Host
}

// Tracker returns the tracker of the server.
func (r *Replica) Tracker() *Tracker { return r.tracker }

// Build returns the View for a configuration and the live hosts. The live hosts include
// this host.
func (f *Fleet) Build(c *table.Configuration, hosts []Host) *View {
	v := &View{configuration: c, pools: map[string]*PoolView{}}
	if c.Generation() == 0 {
		return v
	}
	f.buildMu.Lock()
	defer f.buildMu.Unlock()
	servers := serversOf(c.Tables)
	f.removeUnconfigured(c.Tables, servers)
	f.subsets.update(hosts, servers)
	for name, p := range c.Pools() {
		v.pools[name] = f.buildPool(c.Tables, p)
	}
	return v
}

func (f *Fleet) buildPool(t *table.Tables, p *table.Pool) *PoolView {
	view := &PoolView{pool: p, load: f.poolLoad(p)}
	byVersion := map[uint64]*SnapshotView{}
	held := map[upstream.Holding]bool{}
	for _, u := range p.Upstreams() {
		tracker := f.tracker(u, view.load)
		order := f.subsets.order(u.ID())
		rank := slices.IndexFunc(order, func(h Host) bool { return h.id == f.self })
		if rank < 0 {
			rank = len(order)
		}
		perHost := connectionsPerHost(p, len(order))
		firstHost := ""
		if len(order) > 0 {
			firstHost = order[0].id
		}
		tracker.slots.Store(int32(p.Slots()))
		tracker.limitsDisabled.Store(f.policy.NoAdaptiveLimits)
		tracker.setPlacement(firstHost, rank, len(order), perHost, f.policy.NoAdaptiveLimits)
		view.trackers = append(view.trackers, tracker)
		accepts := t.AcceptsWork(u) && !tracker.isDraining.Load()
		tracker.setAccepting(accepts)
		if !accepts {
			continue
		}
		others := lo.Filter(order, func(h Host, _ int) bool { return h.id != f.self })
		replica := &Replica{tracker: tracker, otherHosts: others}
		var queues []*WaitQueue
		for _, h := range tracker.Knowledge().Holdings {
			if f.addReplica(byVersion, view.load, h, replica) {
				queues = append(queues, view.load.queue(h))
				held[h] = true
			}
		}
		tracker.queues.Store(&queues)
	}
	view.load.removeIdleQueues(held)
	view.snapshots = rankSnapshots(lo.Values(byVersion))
	if len(view.snapshots) > 0 {
		view.snapshots[0].linkReplicas()
	}
	return view
}

// queuedPerSlot is the maximum number of requests for each slot of a server, from all
// hosts together, that are on their way to the server or in its queue. A slot of a server
// works on one request at a time. Further requests wait at the hosts, which send them in
// order of priority.
const queuedPerSlot = 8

// connectionsPerHost returns the number of requests that each host may have in flight at
// a server of a pool, given the number of hosts in the server's subset.
func connectionsPerHost(p *table.Pool, hosts int) int {
	hosts = max(hosts, 1)
	depth := (queuedPerSlot*p.Slots() + hosts - 1) / hosts
	return max(min(p.Connections()/hosts, depth), 1)
}

// addReplica adds the server r to the snapshot and shard that its holding h names, and
// reports whether it did. It ignores a holding whose shard is out of range, or whose
// number of shards differs from that of an earlier holding of the same snapshot.
func (f *Fleet) addReplica(byVersion map[uint64]*SnapshotView, load *PoolLoad, h upstream.Holding, r *Replica) bool {
	if h.Shards < 1 || h.Shards > maxShards || h.Shard < 0 || h.Shard >= h.Shards {
		return false
	}
	s := byVersion[h.Snapshot]
	if s == nil {
		s = &SnapshotView{version: h.Snapshot, policy: f.policy, load: load, shards: make([][]*Replica, h.Shards)}
		for shard := range h.Shards {
			s.queues = append(s.queues, load.queue(upstream.Holding{Snapshot: h.Snapshot, Shard: shard, Shards: h.Shards}))
		}
		byVersion[h.Snapshot] = s
	}
	if len(s.shards) != h.Shards {
		return false
	}
	s.shards[h.Shard] = append(s.shards[h.Shard], r)
	return true
}

// rankSnapshots sorts snapshots by preference. The supply of a snapshot is the number of
// replicas of the shard that has the fewest. Among the complete snapshots with at least
// half of the highest supply, the newest comes first. Without the condition on the
// supply, a new snapshot with only one replica of each shard would be preferred, and
// these replicas would receive the whole load.
func rankSnapshots(list []*SnapshotView) []*SnapshotView {
	bestMinReplicas := 0
	for _, s := range list {
		s.heldShards = lo.CountBy(s.shards, func(r []*Replica) bool { return len(r) > 0 })
		s.minReplicas = lo.Min(lo.Map(s.shards, func(r []*Replica, _ int) int { return len(r) }))
		bestMinReplicas = max(bestMinReplicas, s.minReplicas)
	}
	slices.SortFunc(list, func(a, b *SnapshotView) int {
		if c := cmp.Compare(b.supplyGrade(bestMinReplicas), a.supplyGrade(bestMinReplicas)); c != 0 {
			return c
		}
		return cmp.Compare(b.version, a.version)
	})
	return list
}

// supplyGrade returns the grade by which snapshots are sorted. Snapshots of equal grade
// are sorted by version. The highest grade is that of complete snapshots in which each
// shard has at least half of bestMinReplicas replicas, followed by that of other complete
// snapshots. The grade of an incomplete snapshot is the fraction of its shards that are
// held.
func (s *SnapshotView) supplyGrade(bestMinReplicas int) float64 {
	switch {
	case s.IsComplete() && 2*s.minReplicas >= bestMinReplicas:
		return 3
	case s.IsComplete():
		return 2
	default:
		return float64(s.heldShards) / float64(len(s.shards))
	}
}

// Snapshot returns the most preferred snapshot whose version is not in excluded, or nil
// if there is none.
func (p *PoolView) Snapshot(excluded ...uint64) *SnapshotView {
	for _, s := range p.snapshots {
		if !slices.Contains(excluded, s.version) {
			return s
		}
	}
	return nil
}
