package balance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

const (
	// latencyWeight is the weight of one observation in the moving average.
	latencyWeight = 8
	// growInterval is the shortest time at one level before the next.
	growInterval = 250 * time.Millisecond
	// minimumCredits and maximumCredits bound the successes of all hosts that
	// one level needs; between them it is the level itself.
	minimumCredits = 3
	maximumCredits = 24
	// slowFactor is how many times slower than its pool a server may be while
	// its limit grows.
	slowFactor = 2
	// streakFactor is how many times the time in a slot of the fastest replica makes an
	// answer very late, and slowStreakLength how many of those in a row make a server
	// slow.
	streakFactor     = 3
	slowStreakLength = 3
	// resetWindow is the time within which two broken connections count as a
	// fall.
	resetWindow = time.Second
	// firstBackoff and lastBackoff bound the pause after a refused connection.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// coolingTime is how long a server without work is taken to stay warm.
	coolingTime = 2 * time.Second
	// shareRegrowth is the interval at which a share cut by shedding regrows.
	shareRegrowth = 200 * time.Millisecond
)

// Tracker is what this host knows of one server. The request path uses its
// atomic fields only.
type Tracker struct {
	upstream *table.Upstream
	load     *PoolLoad
	notify   func()

	inFlight atomic.Int32
	share    atomic.Int32
	slots    atomic.Int32
	// others is what the server last said of how many requests it has.
	others     atomic.Int32
	level      atomic.Int32
	cut        atomic.Int32
	latency    atomic.Int64
	progressAt atomic.Int64
	// service is the moving average of the time that a request takes in a slot,
	// lastService the newest.
	service     atomic.Int64
	lastService atomic.Int64
	slowStreak  atomic.Int32
	window      window
	// reference is what the servers of the same shards show to be a usual latency.
	reference    atomic.Int64
	blockedUntil atomic.Int64
	probedAt     atomic.Int64
	draining     atomic.Bool
	ramping      atomic.Bool
	isDirect     atomic.Bool
	queues       atomic.Pointer[[]*WaitQueue]
	// peers are the replicas of the server's newest shard, itself among them.
	peers atomic.Pointer[[]*Tracker]

	mu        sync.Mutex
	known     Knowledge
	first     string
	rank      int
	hosts     int
	perHost   int
	direct    bool
	successes int
	// successTime sums the latencies of the successes.
	successTime time.Duration
	levelAt     time.Time
	resetAt     time.Time
	closedAt    time.Time
	cutAt       time.Time
	backoff     time.Duration
	dirty       bool
}

func newTracker(u *table.Upstream, load *PoolLoad, notify func()) *Tracker {
	t := &Tracker{upstream: u, load: load, notify: notify}
	t.known = Knowledge{Server: u.ID(), Level: 1}
	t.levelAt = time.Now()
	t.ramping.Store(true)
	return t
}

// Upstream returns the server.
func (t *Tracker) Upstream() *table.Upstream { return t.upstream }

// InFlight returns how many requests of this host the server has.
func (t *Tracker) InFlight() int { return int(t.inFlight.Load()) }

// Share returns how many requests this host may have at the server.
func (t *Tracker) Share() int { return int(t.share.Load()) }

// Latency returns the moving average of the server's latency, or zero.
func (t *Tracker) Latency() time.Duration { return time.Duration(t.latency.Load()) }

// Rank returns the place of this host in the server's subset.
func (t *Tracker) Rank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rank
}

// Knowledge returns what this host tells others of the server.
func (t *Tracker) Knowledge() Knowledge {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// TakeChanged returns the knowledge if it changed since the last call.
func (t *Tracker) TakeChanged() (Knowledge, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.dirty
	t.dirty = false
	return t.known, changed
}

// acquire takes one unit of the share.
func (t *Tracker) acquire(now int64) bool {
	n := t.inFlight.Add(1)
	if n > t.limit() {
		t.inFlight.Add(-1)
		return false
	}
	if n == 1 {
		t.progressAt.Store(now)
	}
	t.window.took(n)
	t.load.inFlight.Add(1)
	return true
}

// limit returns how many requests this host may have at the server now.
func (t *Tracker) limit() int32 {
	share := t.share.Load()
	limit := max(share-t.cut.Load(), min(share, 1))
	if t.isDirect.Load() {
		return limit
	}
	return min(limit, t.window.limit())
}

// expected returns how long one more request would take: the moving average of
// the latency, or the time since the server last answered if that is longer, for
// each request that this host has there.
func (t *Tracker) expected(now int64) int64 {
	inFlight := int64(t.inFlight.Load())
	latency := t.latency.Load()
	if inFlight > 0 {
		latency = max(latency, now-t.progressAt.Load())
	}
	return (latency + 1) * (inFlight + 1)
}

// isSlow reports whether the server answers much later than others of its shards
// do.
func (t *Tracker) isSlow() bool {
	reference := t.reference.Load()
	if reference == 0 {
		return false
	}
	return t.latency.Load() > slowFactor*reference || t.isLate()
}

func (t *Tracker) isOpen(now int64) bool {
	return !t.draining.Load() && t.blockedUntil.Load() <= now
}

// Release gives back the unit of the share that a choice took.
func (t *Tracker) Release() {
	t.progressAt.Store(time.Now().UnixNano())
	t.inFlight.Add(-1)
	t.load.inFlight.Add(-1)
	t.wakeWaiting()
}

// wakeWaiting wakes the first request that waits for a shard of the server.
func (t *Tracker) wakeWaiting() {
	if queues := t.queues.Load(); queues != nil {
		for _, q := range *queues {
			q.wakeFirst()
		}
	}
}

// Succeeded records the latency of an answer and what the server said.
func (t *Tracker) Succeeded(d time.Duration, s upstream.State) {
	observe(&t.latency, d)
	t.observeService(d, s.InFlight())
	t.load.latencies.Observe(d)
	if t.ramping.Load() {
		t.mu.Lock()
		t.successes++
		t.successTime += d
		t.backoff = 0
		t.mu.Unlock()
	}
	t.observeState(s)
}

// Abandoned records that a request was given up after a time without answer.
// The server is at least that slow.
func (t *Tracker) Abandoned(after time.Duration) {
	if after > t.Latency() {
		observe(&t.latency, after)
		t.observeStreak(int64(after))
	}
}

// observe moves an average.
func observe(average *atomic.Int64, d time.Duration) {
	for {
		old := average.Load()
		next := old + (int64(d)-old)/latencyWeight
		if old == 0 {
			next = int64(d)
		}
		if average.CompareAndSwap(old, next) {
			return
		}
	}
}

// observeService takes in how long an answer took, less what the other requests at the
// server explain by its own word: they share its slots. While its queue grows there were
// fewer when the request came, so the last word counts too. A server whose word misleads
// is judged by its latency.
func (t *Tracker) observeService(d time.Duration, others int) {
	beside := min(t.others.Swap(int32(others)), int32(others))
	if slots := t.slots.Load(); slots > 0 && beside >= slots {
		d = d * time.Duration(slots) / time.Duration(beside+1)
	}
	observe(&t.service, d)
	t.observeStreak(int64(d))
}

// observeStreak counts answers in a row that took very long in a slot. A server that
// turns cold shows it by a few of them, long before the average does. An answer is late
// only beside those of the other replicas.
func (t *Tracker) observeStreak(service int64) {
	t.lastService.Store(service)
	fastest := t.fastestPeer()
	switch {
	case fastest == 0 || service < slowFactor*fastest:
		if fastest == 0 || service < fastest*widenPercent/100 {
			t.window.inTime(t.inFlight.Load(), t.share.Load())
		}
		if t.slowStreak.Load() != 0 {
			t.slowStreak.Store(0)
		}
	case service >= streakFactor*fastest:
		t.window.late()
		if t.slowStreak.Add(1) == slowStreakLength {
			// What the server has taken on must leave before it is looked at again.
			t.probedAt.Store(time.Now().UnixNano())
		}
	}
}

// isLate reports whether the last answers in a row came very late, as those of a
// server do that has turned cold.
func (t *Tracker) isLate() bool { return t.slowStreak.Load() >= slowStreakLength }

// fastestPeer returns the least recent time in a slot among the other open replicas of
// the server's shards, or zero if there is none.
func (t *Tracker) fastestPeer() int64 {
	peers := t.peers.Load()
	if peers == nil {
		return 0
	}
	now := time.Now().UnixNano()
	fastest := int64(0)
	for _, p := range *peers {
		recent := max(p.service.Load(), p.lastService.Load())
		if p == t || recent == 0 || !p.isOpen(now) {
			continue
		}
		if fastest == 0 || recent < fastest {
			fastest = recent
		}
	}
	return fastest
}

// Unreachable records a refused connection: the server has fallen.
func (t *Tracker) Unreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoff = min(max(2*t.backoff, firstBackoff), lastBackoff)
	t.blockedUntil.Store(now.Add(t.backoff).UnixNano())
	t.fall(1)
}

// Broke records a connection that broke under a request. One alone may be the
// network's; a second one soon after counts as a fall.
func (t *Tracker) Broke(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.resetAt) < resetWindow {
		t.fall(1)
	}
	t.resetAt = now
}

// Refused records a refusal of the server.
func (t *Tracker) Refused(now time.Time, r *upstream.Refusal) {
	t.observeState(r.State())
	switch r.Reason() {
	case upstream.ReasonShed, upstream.ReasonConnectionLimit:
		t.shed(now)
	case upstream.ReasonDraining, upstream.ReasonStopping:
		t.setDraining(true)
	}
}

func (t *Tracker) shed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutAt = now
	if t.known.Level < FullLevel {
		t.fall(max(t.known.Level/2, 1))
		return
	}
	t.cut.Store(min(t.cut.Load()+1, max(t.share.Load()-1, 0)))
}

func (t *Tracker) setDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known.Draining == draining {
		return
	}
	t.known.Draining = draining
	t.known.Sequence++
	t.draining.Store(draining)
	t.dirty = true
	t.notify()
}

// observeState takes in what the server said of itself. A new instance means
// that it restarted and may be cold.
func (t *Tracker) observeState(s upstream.State) {
	if s.Instance() == "" && s.Holdings() == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Instance() != "" && s.Instance() != t.known.Instance {
		restarted := t.known.Instance != ""
		t.known.Instance = s.Instance()
		t.known.Sequence++
		t.dirty = true
		if restarted {
			t.fall(1)
		}
	}
	if s.Holdings() != nil && !slices.Equal(s.Holdings(), t.known.Holdings) {
		t.known.Holdings = slices.Clone(s.Holdings())
		t.known.Sequence++
		t.dirty = true
		t.notify()
	}
	if s.Draining() != t.known.Draining {
		t.known.Draining = s.Draining()
		t.known.Sequence++
		t.draining.Store(s.Draining())
		t.dirty = true
		t.notify()
	}
}
