package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// maxScannedReplicas is the maximum number of replicas of a shard that one choice
	// examines.
	maxScannedReplicas = 8
	// probeInterval is the minimum time between two probes of a slow server. A probe is a
	// copy of a request that shows whether the server has recovered.
	probeInterval = time.Second
	// slowCompletionFactor is a multiple of the reference latency. A request whose
	// expected completion time at a slow server exceeds this multiple waits for a server
	// that is not slow, if there is one.
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

// Via returns the ID of the host that the request must be forwarded to, or "" if this
// host sends the request itself. If this host sends it, the request already counts as in
// flight at the server.
func (c Choice) Via() string { return c.via }

// Chooser picks the replica for a request. Pick returns the index of a replica, or -1 if
// it picks none. The server of the replica must be open (neither draining nor blocked
// after a refused connection) and have capacity for another request of this host. It must
// not be in tried, the servers that have already received the request.
type Chooser interface {
	Pick(replicas []*Replica, tried []*Tracker, now int64) int
}

// LeastCompletion picks the server with the shortest expected completion time among the
// servers that have capacity and are not slow. If there is none, it picks a slow server
// with capacity. It picks no server if the request can wait for one that is not slow, and
// the request is expected to exceed slowCompletionFactor at the slow server or the last
// slowStreakLength answers of the slow server were very late.
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

// TwoChoices selects two servers at random and picks the one with fewer requests in
// flight.
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

// RoundRobin picks the first server with capacity in the order of the replicas, whatever
// its load. It starts at a random replica and not after the one picked last, because all
// requests would have to share a counter for that.
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

// Choose picks a server of a shard that is not in tried, preferably one to which this
// host may send the request itself, without forwarding it. It reports false if this host
// can neither send nor forward the request now.
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

// chooseHop picks a server of which this host has no share, and another host of the
// server's subset to forward the request to. It reports false if there is no such server.
// It also reports false if this host has a share of an open server of the shard that is
// neither slow nor in tried. The request then waits for that server, since a host that it
// could be forwarded to is as busy and would refuse it.
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
		if len(replicas[at].otherHosts) > 0 {
			hop = at
		}
	}
	if hop < 0 {
		return Choice{}, false
	}
	return replicas[hop].hopChoice()
}

// ChooseLimited picks the server of a shard whose level (the limit on its requests while
// it ramps up) is the lowest. The request is sent to warm that server up. It reports
// false if no server of the shard is ramping up, or if the server with the lowest level
// has no capacity.
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

// hopChoice returns the Choice of server r via another host. It picks that host at random
// among those that receive a share of the server's present level.
func (r *Replica) hopChoice() (Choice, bool) {
	active := min(len(r.otherHosts), int(max(r.tracker.level.Load(), 1)))
	if active == 0 {
		return Choice{}, false
	}
	return Choice{replica: r, via: r.otherHosts[rand.IntN(active)].id}, true
}

// AcquireForwarded counts a request that another host forwarded as in flight at a server.
// It reports false if the server is not open or has no capacity for another request of
// this host.
func (f *Fleet) AcquireForwarded(server string) (*Tracker, bool) {
	now := time.Now().UnixNano()
	t := f.Tracker(server)
	if t == nil || !t.isOpen(now) {
		return nil, false
	}
	return t, t.acquire(now)
}

// ChooseProbe picks a server of a shard to which a copy of a request is sent as a probe:
// a server that ramps up or is slow, and at which this host has no requests in flight. A
// slow server must not have received a probe from this host within probeInterval.
// ChooseProbe skips chosen, the server that receives the request itself. The probe counts
// as in flight at the server. ChooseProbe reports false if there is no such server with
// capacity or the budget of extra sends is spent.
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
