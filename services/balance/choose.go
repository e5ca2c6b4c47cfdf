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
	// outlierFactor is how many times slower than its pool a server must be to
	// be looked after by probes.
	outlierFactor = 3
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

// LeastCompletion picks the server with the least expected completion time: the
// moving average of its latency times the requests that this host has there.
type LeastCompletion struct{}

// Pick implements Chooser.
func (LeastCompletion) Pick(replicas []*Replica, tried []*Tracker, now int64) int {
	best, bestScore := -1, int64(0)
	n := len(replicas)
	offset := rand.IntN(n)
	for i := range min(n, scanLimit) {
		at := offset + i
		if at >= n {
			at -= n
		}
		t := replicas[at].tracker
		if !t.hasRoom(now) || isTried(tried, t) {
			continue
		}
		score := (t.latency.Load() + 1) * int64(t.inFlight.Load()+1)
		if best < 0 || score < bestScore {
			best, bestScore = at, score
		}
	}
	return best
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
	share := t.share.Load()
	limit := max(share-t.cut.Load(), min(share, 1))
	return t.inFlight.Load() < limit && t.isOpen(now)
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
		if replicas[at].tracker.acquire() {
			return Choice{replica: replicas[at]}, true
		}
	}
	return s.chooseHop(replicas, tried, now)
}

// chooseHop picks a server through another host of its subset, one that may use
// it at the server's present level.
func (s *SnapshotView) chooseHop(replicas []*Replica, tried []*Tracker, now int64) (Choice, bool) {
	n := len(replicas)
	offset := rand.IntN(n)
	for i := range n {
		r := replicas[(offset+i)%n]
		if len(r.hosts) == 0 || !r.tracker.isOpen(now) || isTried(tried, r.tracker) {
			continue
		}
		// A host with a share of its own that is merely full waits for it
		// rather than load the others.
		if r.tracker.share.Load() > 0 {
			continue
		}
		active := min(len(r.hosts), max(r.tracker.Knowledge().Level, 1))
		return Choice{replica: r, via: r.hosts[rand.IntN(active)].id}, true
	}
	return Choice{}, false
}

// AcquireFor takes a unit of a server's share for a request of another host.
func (f *Fleet) AcquireFor(server string) (*Tracker, bool) {
	t := f.Tracker(server)
	if t == nil || !t.isOpen(time.Now().UnixNano()) {
		return nil, false
	}
	return t, t.acquire()
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
		if t.acquire() {
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
	typical := t.load.typical.Load()
	slow := typical > 0 && t.latency.Load() > outlierFactor*typical
	return slow && now-t.probedAt.Load() > int64(probeInterval)
}
