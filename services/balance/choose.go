package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// scanLimit is how many servers of a shard one choice looks at.
	scanLimit = 8
	// probeInterval is how often a host looks whether a slow or limited server
	// got better.
	probeInterval = time.Second
	// slowPatience is how many median latencies a slow server may take before
	// waiting for a fast one is preferred.
	slowPatience = 4
)

// Choice is a server for one request, and the host that must send it there.
type Choice struct {
	replica *Replica
	via     string
}

// Tracker returns what this host knows of the chosen server.
func (c Choice) Tracker() *Tracker { return c.replica.tracker }

// Via returns the host that the request must be passed to, or "" if this host
// sends it. A direct choice has taken a unit of the server's share.
func (c Choice) Via() string { return c.via }

// Chooser picks one of the replicas that are open and have room. It returns -1
// if there is none.
type Chooser interface {
	Pick(replicas []*Replica, tried []*Tracker, now int64) int
}

// LeastCompletion picks the server with the least expected completion time among
// those with room that are about as fast as their pool. A slow server is picked
// if there is no other, or if waiting for the others would take longer.
type LeastCompletion struct{}

// Pick implements Chooser.
func (LeastCompletion) Pick(replicas []*Replica, tried []*Tracker, now int64) int {
	fast, slow := -1, -1
	var fastScore, slowScore int64
	isWaitPossible := false
	n := len(replicas)
	offset := rand.IntN(n)
	for i := range min(n, scanLimit) {
		at := offset + i
		if at >= n {
			at -= n
		}
		t := replicas[at].tracker
		if t.share.Load() == 0 || !t.isOpen(now) || isTried(tried, t) {
			continue
		}
		isSlow := t.isSlow()
		if !t.hasRoom(now) {
			isWaitPossible = isWaitPossible || !isSlow
			continue
		}
		score := t.expected(now)
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
	if isWaitPossible && (t.isLate() || slowScore > slowPatience*t.reference.Load()) {
		return -1
	}
	return slow
}

// TwoChoices picks the less loaded of two random servers.
type TwoChoices struct{}

// Pick implements Chooser.
func (TwoChoices) Pick(replicas []*Replica, tried []*Tracker, now int64) int {
	first := randomOpen(replicas, tried, now)
	second := randomOpen(replicas, tried, now)
	if first < 0 || replicas[second].tracker.inFlight.Load() < replicas[first].tracker.inFlight.Load() {
		return second
	}
	return first
}

// RoundRobin picks the next server, whatever its load; in place of one counter
// for all requests it starts at a random server.
type RoundRobin struct{}

// Pick implements Chooser.
func (RoundRobin) Pick(replicas []*Replica, tried []*Tracker, now int64) int {
	return randomOpen(replicas, tried, now)
}

func randomOpen(replicas []*Replica, tried []*Tracker, now int64) int {
	n := len(replicas)
	offset := rand.IntN(n)
	for i := range n {
		at := (offset + i) % n
		t := replicas[at].tracker
		if t.hasRoom(now) && !isTried(tried, t) {
			return at
		}
	}
	return -1
}

func (t *Tracker) hasRoom(now int64) bool {
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

// Choose picks a server of a shard that is not among those tried. It prefers a
// server that this host may use itself. It reports false if every server is
// closed or has no room.
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

// chooseHop picks a server through another host of its subset, one that may use
// it at the server's present level. A host that may use a server of the shard
// itself, one that is as fast as others and not tried yet, waits for that one: a
// hop would only be refused by a host that is as busy.
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
	return replicas[hop].hop()
}

// ChooseLimited picks the server of a shard with the lowest limit, for a request
// that is meant to warm it. It reports false if no server is limited or none has
// room.
func (s *SnapshotView) ChooseLimited(shard int, tried []*Tracker) (Choice, bool) {
	now := time.Now().UnixNano()
	var lowest *Replica
	for _, r := range s.shards[shard] {
		t := r.tracker
		if !t.ramping.Load() || !t.isOpen(now) || isTried(tried, t) {
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
		return lowest.hop()
	}
}

// hop passes a request to one of the hosts that may use the server at its level.
func (r *Replica) hop() (Choice, bool) {
	active := min(len(r.hosts), int(max(r.tracker.level.Load(), 1)))
	if active == 0 {
		return Choice{}, false
	}
	return Choice{replica: r, via: r.hosts[rand.IntN(active)].id}, true
}

// AcquireFor takes a unit of a server's share for a request of another host.
func (f *Fleet) AcquireFor(server string) (*Tracker, bool) {
	now := time.Now().UnixNano()
	t := f.Tracker(server)
	if t == nil || !t.isOpen(now) {
		return nil, false
	}
	return t, t.acquire(now)
}

// ChooseProbe picks a server of a shard that is due for a look: one whose limit
// still grows, or one much slower than its pool. It takes a unit of its share.
func (s *SnapshotView) ChooseProbe(shard int, busy *Tracker) (Choice, bool) {
	if s.policy.NoHedge || s.policy.HedgeAfter > 0 {
		return Choice{}, false
	}
	now := time.Now().UnixNano()
	for _, r := range s.shards[shard] {
		t := r.tracker
		if t == busy || !t.needsProbe(now) || !t.hasRoom(now) {
			continue
		}
		if !s.load.MayHedge() {
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
	if t.ramping.Load() {
		return t.inFlight.Load() == 0
	}
	return t.isSlow() && t.inFlight.Load() == 0 && now-t.probedAt.Load() > int64(probeInterval)
}
