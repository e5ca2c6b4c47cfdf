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
	// averageDivisor is the inverse of the weight of one observation in a moving average.
	averageDivisor = 8
	// growInterval is the minimum time at one level before the next.
	growInterval = 250 * time.Millisecond
	// minLevelSuccesses and maxLevelSuccesses bound the number of successes, over all
	// hosts, that a level requires before it grows; between them it is the level itself.
	minLevelSuccesses = 3
	maxLevelSuccesses = 24
	// slowFactor is the multiple of the reference latency above which a server counts as
	// slow and its level stops growing.
	slowFactor = 2
	// veryLateFactor is the multiple of the fastest replica's service time from which an
	// answer is very late. slowStreakLength is how many such answers in a row make a
	// server slow.
	veryLateFactor   = 3
	slowStreakLength = 3
	// brokenConnectionWindow is the time within which two broken connections reset the
	// level.
	brokenConnectionWindow = time.Second
	// minBackoff and maxBackoff bound the pause after a refused connection.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// warmIdleTime is how long a server is assumed to stay warm without work.
	warmIdleTime = 2 * time.Second
	// shareRegrowInterval is the time in which a share that was cut after shedding
	// regains one request.
	shareRegrowInterval = 200 * time.Millisecond
)

// Tracker holds what this host knows of one server. Choosing a server takes no lock: it
// uses only atomic fields.
type Tracker struct {
	upstream *table.Upstream
	load     *PoolLoad
	notify   func()

	inFlight atomic.Int32
	share    atomic.Int32
	slots    atomic.Int32
	// othersInFlight is the number of other requests that the server last reported in
	// flight.
	othersInFlight atomic.Int32
	level          atomic.Int32
	shareCut       atomic.Int32
	latency        atomic.Int64
	progressAt     atomic.Int64
	// averageServiceTime is the moving average of the service time, which is the time
	// that a request spends in a slot. lastServiceTime is the newest observation.
	averageServiceTime atomic.Int64
	lastServiceTime    atomic.Int64
	slowStreak         atomic.Int32
	window             window
	// referenceLatency is the usual latency among the servers of the same shards.
	referenceLatency atomic.Int64
	blockedUntil     atomic.Int64
	probedAt         atomic.Int64
	isDraining       atomic.Bool
	isRamping        atomic.Bool
	// limitsDisabled is noAdaptiveLimits, readable without mu.
	limitsDisabled atomic.Bool
	queues         atomic.Pointer[[]*WaitQueue]
	// replicas are the servers of the same shard in the preferred snapshot, this one
	// included.
	replicas atomic.Pointer[[]*Tracker]

	mu                 sync.Mutex
	knowledge          Knowledge
	firstHost          string
	rank               int
	hostCount          int
	connectionsPerHost int
	noAdaptiveLimits   bool
	successes          int
	// successTime is the sum of the latencies of the successes.
	successTime       time.Duration
	levelChangedAt    time.Time
	brokenAt          time.Time
	notAcceptingSince time.Time
	shareCutAt        time.Time
	backoff           time.Duration
	dirty             bool
}

func newTracker(u *table.Upstream, load *PoolLoad, notify func()) *Tracker {
	t := &Tracker{upstream: u, load: load, notify: notify}
	t.knowledge = Knowledge{Server: u.ID(), Level: 1}
	t.levelChangedAt = time.Now()
	t.isRamping.Store(true)
	return t
}

// Upstream returns the configuration of the server.
func (t *Tracker) Upstream() *table.Upstream { return t.upstream }

// InFlight returns how many requests of this host are in flight at the server.
func (t *Tracker) InFlight() int { return int(t.inFlight.Load()) }

// Share returns how many requests this host may have in flight at the server.
func (t *Tracker) Share() int { return int(t.share.Load()) }

// Latency returns the moving average of the server's latency, or zero if none is known.
func (t *Tracker) Latency() time.Duration { return time.Duration(t.latency.Load()) }

// Rank returns the rank of this host in the server's subset, or the size of the subset
// if the host is not in it.
func (t *Tracker) Rank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rank
}

// Knowledge returns the record of the server that this host sends to others.
func (t *Tracker) Knowledge() Knowledge {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.knowledge
}

// TakeChanged returns the knowledge, and whether it has changed since the last call.
func (t *Tracker) TakeChanged() (Knowledge, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.dirty
	t.dirty = false
	return t.knowledge, changed
}

// acquire takes one unit of the share and reports whether one was free.
func (t *Tracker) acquire(now int64) bool {
	n := t.inFlight.Add(1)
	if n > t.limit() {
		t.inFlight.Add(-1)
		return false
	}
	if n == 1 {
		t.progressAt.Store(now)
	}
	t.window.recordInFlight(n)
	t.load.inFlight.Add(1)
	return true
}

// limit returns how many requests this host may have in flight at the server now.
func (t *Tracker) limit() int32 {
	share := t.share.Load()
	limit := max(share-t.shareCut.Load(), min(share, 1))
	if t.limitsDisabled.Load() {
		return limit
	}
	return min(limit, t.window.limit())
}

// expectedCompletion returns the expected time in nanoseconds until one more request
// completes: the moving average of the latency, or the time since the server last made
// progress if that is longer, for each request of this host.
func (t *Tracker) expectedCompletion(now int64) int64 {
	inFlight := int64(t.inFlight.Load())
	latency := t.latency.Load()
	if inFlight > 0 {
		latency = max(latency, now-t.progressAt.Load())
	}
	return (latency + 1) * (inFlight + 1)
}

// isSlow reports whether the server answers much later than others of its shards.
func (t *Tracker) isSlow() bool {
	reference := t.referenceLatency.Load()
	if reference == 0 {
		return false
	}
	return t.latency.Load() > slowFactor*reference || t.hasSlowStreak()
}

// isOpen reports whether the server is neither draining nor paused after a refused
// connection.
func (t *Tracker) isOpen(now int64) bool {
	return !t.isDraining.Load() && t.blockedUntil.Load() <= now
}

// Release returns the unit of the share that a choice acquired, and wakes waiting
// requests.
func (t *Tracker) Release() {
	t.progressAt.Store(time.Now().UnixNano())
	t.inFlight.Add(-1)
	t.load.inFlight.Add(-1)
	t.wakeWaiters()
}

// wakeWaiters wakes the first waiting request of each shard of the server.
func (t *Tracker) wakeWaiters() {
	if queues := t.queues.Load(); queues != nil {
		for _, q := range *queues {
			q.wakeFirst()
		}
	}
}

// RecordSuccess records the latency of an answer and the state that the server reported
// with it.
func (t *Tracker) RecordSuccess(d time.Duration, s upstream.State) {
	updateAverage(&t.latency, d)
	t.observeServiceTime(d, s.InFlight())
	t.load.latencies.Observe(d)
	if t.isRamping.Load() {
		t.mu.Lock()
		t.successes++
		t.successTime += d
		t.backoff = 0
		t.mu.Unlock()
	}
	t.observeState(s)
}

// RecordAbandoned records that a request was given up after a time without an answer. The
// latency of the server is at least that time.
func (t *Tracker) RecordAbandoned(after time.Duration) {
	if after > t.Latency() {
		updateAverage(&t.latency, after)
		t.updateWindowAndStreak(int64(after))
	}
}

// updateAverage adds an observation to a moving average.
func updateAverage(average *atomic.Int64, d time.Duration) {
	for {
		old := average.Load()
		next := old + (int64(d)-old)/averageDivisor
		if old == 0 {
			next = int64(d)
		}
		if average.CompareAndSwap(old, next) {
			return
		}
	}
}

// observeServiceTime records the service time of an answer with latency d. Requests in
// flight share the server's slots, so the part of d that the reported number of others
// explains is deducted. The lower of this report and the last one counts: while the
// server's queue grows, fewer requests were ahead when this one arrived. A server that
// reports wrong numbers is still judged by its latency.
func (t *Tracker) observeServiceTime(d time.Duration, othersInFlight int) {
	concurrent := min(t.othersInFlight.Swap(int32(othersInFlight)), int32(othersInFlight))
	if slots := t.slots.Load(); slots > 0 && concurrent >= slots {
		d = d * time.Duration(slots) / time.Duration(concurrent+1)
	}
	updateAverage(&t.averageServiceTime, d)
	t.updateWindowAndStreak(int64(d))
}

// updateWindowAndStreak adapts the window to a service time and counts very late
// answers in a row. A few such answers reveal a server that has turned cold, long
// before the average does. An answer is late only in comparison with those of the other
// replicas.
func (t *Tracker) updateWindowAndStreak(serviceTime int64) {
	t.lastServiceTime.Store(serviceTime)
	fastest := t.fastestOtherReplica()
	switch {
	case fastest == 0 || serviceTime < slowFactor*fastest:
		if fastest == 0 || serviceTime < fastest*widenPercent/100 {
			t.window.widenIfFull(t.inFlight.Load(), t.share.Load())
		}
		if t.slowStreak.Load() != 0 {
			t.slowStreak.Store(0)
		}
	case serviceTime >= veryLateFactor*fastest:
		t.window.narrow()
		if t.slowStreak.Add(1) == slowStreakLength {
			// Delays the next probe until the requests that the server has taken on are
			// done.
			t.probedAt.Store(time.Now().UnixNano())
		}
	}
}

// hasSlowStreak reports whether the last answers in a row were very late, as they are
// from a server that has turned cold.
func (t *Tracker) hasSlowStreak() bool { return t.slowStreak.Load() >= slowStreakLength }

// fastestOtherReplica returns the lowest recent service time among the other open
// replicas of the server's shard, or zero if there is none.
func (t *Tracker) fastestOtherReplica() int64 {
	replicas := t.replicas.Load()
	if replicas == nil {
		return 0
	}
	now := time.Now().UnixNano()
	fastest := int64(0)
	for _, p := range *replicas {
		recent := max(p.averageServiceTime.Load(), p.lastServiceTime.Load())
		if p == t || recent == 0 || !p.isOpen(now) {
			continue
		}
		if fastest == 0 || recent < fastest {
			fastest = recent
		}
	}
	return fastest
}

// RecordUnreachable records a refused connection: it blocks the server for a backoff and
// resets its level.
func (t *Tracker) RecordUnreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.blockedUntil.Store(now.Add(t.backoff).UnixNano())
	t.resetLevel(1)
}

// RecordBrokenConnection records a connection that broke during a request. A single one
// may be the fault of the network; a second one within brokenConnectionWindow resets
// the level.
func (t *Tracker) RecordBrokenConnection(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.brokenAt) < brokenConnectionWindow {
		t.resetLevel(1)
	}
	t.brokenAt = now
}

// RecordRefusal records that the server refused a request.
func (t *Tracker) RecordRefusal(now time.Time, r *upstream.Refusal) {
	t.observeState(r.State())
	switch r.Reason() {
	case upstream.ReasonShed, upstream.ReasonConnectionLimit:
		t.recordShed(now)
	case upstream.ReasonDraining, upstream.ReasonStopping:
		t.setDraining(true)
	}
}

func (t *Tracker) recordShed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shareCutAt = now
	if t.knowledge.Level < FullLevel {
		t.resetLevel(max(t.knowledge.Level/2, 1))
		return
	}
	t.shareCut.Store(min(t.shareCut.Load()+1, max(t.share.Load()-1, 0)))
}

func (t *Tracker) setDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.knowledge.Draining == draining {
		return
	}
	t.knowledge.Draining = draining
	t.knowledge.Sequence++
	t.isDraining.Store(draining)
	t.dirty = true
	t.notify()
}

// observeState records the state that the server reported. A new instance means that
// the server restarted and may be cold.
func (t *Tracker) observeState(s upstream.State) {
	if s.Instance() == "" && s.Holdings() == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Instance() != "" && s.Instance() != t.knowledge.Instance {
		restarted := t.knowledge.Instance != ""
		t.knowledge.Instance = s.Instance()
		t.knowledge.Sequence++
		t.dirty = true
		if restarted {
			t.resetLevel(1)
		}
	}
	if s.Holdings() != nil && !slices.Equal(s.Holdings(), t.knowledge.Holdings) {
		t.knowledge.Holdings = slices.Clone(s.Holdings())
		t.knowledge.Sequence++
		t.dirty = true
		t.notify()
	}
	if s.Draining() != t.knowledge.Draining {
		t.knowledge.Draining = s.Draining()
		t.knowledge.Sequence++
		t.isDraining.Store(s.Draining())
		t.dirty = true
		t.notify()
	}
}
