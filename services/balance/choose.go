package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// maxScannedReplicas is how many replicas of a shard one choice examines.
	maxScannedReplicas = 8
	// probeInterval is the minimum time between two probes of a slow server.
	probeInterval = time.Second
	// slowCompletionFactor is the expected completion time of a slow server, in multiples
	// of the reference latency, above which a request waits for a fast server instead.
	slowCompletionFactor = 4
)

// Choice is the server chosen for one request, and the host that sends the request to
// it.
type Choice struct {
	replica *Replica
	via     string
}

// Tracker returns the tracker of the chosen server.
func (c Choice) Tracker() *Tracker { return c.replica.tracker }

// Via returns the host that the request must be forwarded to, or "" if this host sends
// it. A choice without such a host has acquired a unit of the server's share.
func (c Choice) Via() string { return c.via }

// Chooser picks one of the replicas that are open, have capacity and are not among those
// tried. It returns the index of the replica, or -1 if there is none.
type Chooser interface {
	Pick(replicas []*Replica, tried []*Tracker, now int64) int
}

// LeastCompletion picks the server with the least expected completion time among those
// that have capacity and are not slow. It picks a slow server if no other has capacity,
// unless waiting for one of the others would take less time.
type LeastCompletion struct{}

// Pick implements Chooser.
func (LeastCompletion) Pick(replicas []*Replica, tried []*Tracker, now int64) int {
	fast, slow := -1, -1
	var fastScore, slowScore int64
	isWaitPossible := false
	n := len(replicas)
	offset := rand.IntN(n)
	for i := range min(n, maxScannedReplicas) {
		at := offset + i
		if at >= n {
			at -= n
		}
		t := replicas[at].tracker
		if t.share.Load() == 0 || !t.isOpen(now) || isTried(tried, t) {
			continue
		}
		isSlow := t.isSlow()
		if !t.hasCapacity(now) {
			isWaitPossible = isWaitPossible || !isSlow
			continue
		}
		score := t.expectedCompletion(now)
		switch {
		case !isSlow && (fast < 0 || score < fastScore):
			fast, fastScore = at, score
		case isSlow && (slow < 0 || score < slowScore):
			slow, slowScore = at, score
		}
	}
	if fast >= 0 || slow < 0 {
		return fast
	}
	t := replicas[slow].tracker
	if isWaitPossible && (t.hasSlowStreak() || slowScore > slowCompletionFactor*t.referenceLatency.Load()) {
		return -1
	}
	return slow
}

// TwoChoices picks the server with fewer requests in flight out of two random ones.
type TwoChoices struct{}

// Pick implements Chooser.
func (TwoChoices) Pick(replicas []*Replica, tried []*Tracker, now int64) int {
	first := randomWithCapacity(replicas, tried, now)
	second := randomWithCapacity(replicas, tried, now)
	if first < 0 || replicas[second].tracker.inFlight.Load() < replicas[first].tracker.inFlight.Load() {
		return second
	}
	return first
}

// RoundRobin picks the next server with capacity, whatever its load. It starts at a
// random server instead of sharing one counter between all requests.
type RoundRobin struct{}

// Pick implements Chooser.
func (RoundRobin) Pick(replicas []*Replica, tried []*Tracker, now int64) int {
	return randomWithCapacity(replicas, tried, now)
}

func randomWithCapacity(replicas []*Replica, tried []*Tracker, now int64) int {
	n := len(replicas)
	offset := rand.IntN(n)
	for i := range n {
		at := (offset + i) % n
		t := replicas[at].tracker
		if t.hasCapacity(now) && !isTried(tried, t) {
			return at
		}
	}
	return -1
}

func (t *Tracker) hasCapacity(now int64) bool {
	return t.inFlight.Load() < t.limit() && t.isOpen(now)
}

func isTried(tried []*Tracker, t *Tracker) bool {
	for _, x := range tried {
		if x == t {
			return true
		}
	}
	return false
}

// Choose picks a server of a shard that is not among those tried, preferably one that
// this host may use itself. It reports false if every server is closed or has no
// capacity.
func (s *SnapshotView) Choose(shard int, tried []*Tracker) (Choice, bool) {
	replicas := s.shards[shard]
	if len(replicas) == 0 {
		return Choice{}, false
	}
	now := time.Now().UnixNano()
	for range len(replicas) {
		at := s.policy.Chooser.Pick(replicas, tried, now)
		if at < 0 {
			break
		}
		if replicas[at].tracker.isSlow() {
			if hop, ok := s.chooseHop(replicas, tried, now); ok {
				return hop, true
			}
		}
		if replicas[at].tracker.acquire(now) {
			return Choice{replica: replicas[at]}, true
		}
	}
	return s.chooseHop(replicas, tried, now)
}

// chooseHop picks a server that this host has no share of, and another host of the
// server's subset to forward the request to. It reports false if this host has a share
// of another server of the shard that is open, not slow and not tried yet: the request
// waits for that server, since the other host is as busy and would only refuse it.
func (s *SnapshotView) chooseHop(replicas []*Replica, tried []*Tracker, now int64) (Choice, bool) {
	n := len(replicas)
	offset := rand.IntN(n)
	hop := -1
	for i := range n {
		at := (offset + i) % n
		t := replicas[at].tracker
		if !t.isOpen(now) || isTried(tried, t) {
			continue
		}
		if t.share.Load() > 0 {
			if t.isSlow() {
				continue
			}
			return Choice{}, false
		}
		if len(replicas[at].hosts) > 0 {
			hop = at
		}
	}
	if hop < 0 {
		return Choice{}, false
	}
	return replicas[hop].hopChoice()
}

// ChooseLimited picks the server of a shard with the lowest level, for a request that
// is meant to warm it up. It reports false if no server of the shard ramps up or the
// one picked has no capacity.
func (s *SnapshotView) ChooseLimited(shard int, tried []*Tracker) (Choice, bool) {
	now := time.Now().UnixNano()
	var lowest *Replica
	for _, r := range s.shards[shard] {
		t := r.tracker
		if !t.isRamping.Load() || !t.isOpen(now) || isTried(tried, t) {
			continue
		}
		if lowest == nil || t.level.Load() < lowest.tracker.level.Load() {
			lowest = r
		}
	}
	switch {
	case lowest == nil:
		return Choice{}, false
	case lowest.tracker.share.Load() > 0:
		return Choice{replica: lowest}, lowest.tracker.acquire(now)
	default:
		return lowest.hopChoice()
	}
}

// hopChoice returns the choice of r through a random one of the other hosts that may
// use it at its level.
func (r *Replica) hopChoice() (Choice, bool) {
	active := min(len(r.hosts), int(max(r.tracker.level.Load(), 1)))
	if active == 0 {
		return Choice{}, false
	}
	return Choice{replica: r, via: r.hosts[rand.IntN(active)].id}, true
}

// AcquireForwarded acquires a unit of a server's share for a request that another host
// forwarded.
func (f *Fleet) AcquireForwarded(server string) (*Tracker, bool) {
	now := time.Now().UnixNano()
	t := f.Tracker(server)
	if t == nil || !t.isOpen(now) {
		return nil, false
	}
	return t, t.acquire(now)
}

// ChooseProbe picks a server of a shard that is due for a probe, other than the one
// already chosen: a server that ramps up, or one that is much slower than the others.
// It acquires a unit of the server's share. It reports false if no server is due or the
// budget is spent.
func (s *SnapshotView) ChooseProbe(shard int, chosen *Tracker) (Choice, bool) {
	if s.policy.NoHedge || s.policy.HedgeQuantile > 0 {
		return Choice{}, false
	}
	now := time.Now().UnixNano()
	for _, r := range s.shards[shard] {
		t := r.tracker
		if t == chosen || !t.needsProbe(now) || !t.hasCapacity(now) {
			continue
		}
		if !s.load.WithdrawExtraSend() {
			return Choice{}, false
		}
		if t.acquire(now) {
			t.probedAt.Store(now)
			return Choice{replica: r}, true
		}
	}
	return Choice{}, false
}

func (t *Tracker) needsProbe(now int64) bool {
	if t.isRamping.Load() {
		return t.inFlight.Load() == 0
	}
	return t.isSlow() && t.inFlight.Load() == 0 && now-t.probedAt.Load() > int64(probeInterval)
}
