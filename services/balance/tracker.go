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
	// movingAverageDivisor is the inverse of the weight of one observation in a moving
	// average.
	movingAverageDivisor = 8
	// levelRaiseInterval is the minimum time for which a level (the limit on the requests
	// to a server that ramps up) is in force before it is raised.
	levelRaiseInterval = 250 * time.Millisecond
	// minLevelSuccesses is the smallest number of successful requests, of all hosts
	// together, after which a level may be raised. A level between minLevelSuccesses and
	// maxLevelSuccesses requires as many successes as its own value.
	minLevelSuccesses = 3
	// maxLevelSuccesses is the number of successful requests after which any level may be
	// raised, however high it is.
	maxLevelSuccesses = 24
	// slowLatencyFactor is the multiple of the reference latency above which a server
	// counts as slow and its level stops growing.
	slowLatencyFactor = 2
	// An answer counts as very late if its service time is at least veryLateFactor times
	// the service time of the fastest other replica. A server counts as slow after
	// slowStreakLength consecutive very late answers.
	veryLateFactor   = 3
	slowStreakLength = 3
	// brokenConnectionWindow is the time between two broken connections to a server below
	// which the server's level is reset to 1.
	brokenConnectionWindow = time.Second
	// minBackoff is the time for which a server receives no requests after it refused a
	// connection. Each further refused connection doubles the time, up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the maximum time for which a server receives no requests after
	// refused connections.
	maxBackoff = 2 * time.Second
	// warmIdleTime is the time without work after which a server is assumed to be cold,
	// that is, to have lost the contents of its caches.
	warmIdleTime = 2 * time.Second
	// shareRegrowInterval is the interval at which one request is restored to this host's
	// share of a server after the share was cut because the server shed load.
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
	// othersInFlight is the number of requests in flight that the server last reported,
	// not counting the request that it answered.
	othersInFlight atomic.Int32
	level          atomic.Int32
	shareCut       atomic.Int32
	latency        atomic.Int64
	progressAt     atomic.Int64
	// averageServiceTime is the moving average of the service time, which is the time
	// that a request occupies a slot of the server. lastServiceTime is the newest
	// observed service time.
	averageServiceTime atomic.Int64
	lastServiceTime    atomic.Int64
	slowStreak         atomic.Int32
	window             window
	// referenceLatency is the latency that the server's own latency is compared with.
	// SnapshotView.updateReferenceLatencies sets it.
	referenceLatency atomic.Int64
	blockedUntil     atomic.Int64
	probedAt         atomic.Int64
	isDraining       atomic.Bool
	isRamping        atomic.Bool
	// limitsDisabled is a copy of noAdaptiveLimits that can be read without mu.
	limitsDisabled atomic.Bool
	queues         atomic.Pointer[[]*WaitQueue]
	// replicas are the trackers of all servers that hold the same shard of the preferred
	// snapshot, including this server.
	replicas atomic.Pointer[[]*Tracker]

	mu                 sync.Mutex
	knowledge          Knowledge
	firstHost          string
	rank               int
	hostCount          int
	connectionsPerHost int
	noAdaptiveLimits   bool
	successes          int
	// successLatencySum is the sum of the latencies of the successes.
	successLatencySum time.Duration
	levelChangedAt    time.Time
	brokenAt          time.Time
	notAcceptingSince time.Time
	shareCutAt        time.Time
	backoff           time.Duration
	hasUnsentChange   bool
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

// InFlight returns the number of requests of this host that are in flight at the server.
func (t *Tracker) InFlight() int { return int(t.inFlight.Load()) }

// Share returns this host's share of the server: the number of requests that its level
// allows this host to have in flight.
func (t *Tracker) Share() int { return int(t.share.Load()) }

// Latency returns the moving average of the server's latency, or zero if none is known.
func (t *Tracker) Latency() time.Duration { return time.Duration(t.latency.Load()) }

// Rank returns the position of this host in the server's subset (the ordered list of the
// hosts that may send requests to it), from 0, or the size of the subset if the host is
// not in it.
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

// TakeChanged returns the record of the server and reports whether it has changed since
// the last call.
func (t *Tracker) TakeChanged() (Knowledge, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.hasUnsentChange
	t.hasUnsentChange = false
	return t.knowledge, changed
}

// acquire counts one more request as in flight and reports true, or reports false if the
// number would exceed the result of limit.
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

// limit returns the number of requests that this host may have in flight at the server
// now. It is this host's share, less the requests cut from the share after the server
// shed load, and at most this host's window, which adapts to the server's answers.
func (t *Tracker) limit() int32 {
	share := t.share.Load()
	limit := max(share-t.shareCut.Load(), min(share, 1))
	if t.limitsDisabled.Load() {
		return limit
	}
	return min(limit, t.window.limit())
}

// expectedCompletion returns the expected time in nanoseconds until one more request
// completes. It is a latency multiplied by the number of this host's requests at the
// server, the new one included. The latency is the moving average or, if longer, the time
// since a request of this host to the server last ended.
func (t *Tracker) expectedCompletion(now int64) int64 {
	inFlight := int64(t.inFlight.Load())
	latency := t.latency.Load()
	if inFlight > 0 {
		latency = max(latency, now-t.progressAt.Load())
	}
	return (latency + 1) * (inFlight + 1)
}

// isSlow reports whether the average latency exceeds slowLatencyFactor times the
// reference latency, or the last slowStreakLength answers were very late.
func (t *Tracker) isSlow() bool {
	reference := t.referenceLatency.Load()
	if reference == 0 {
		return false
	}
	return t.latency.Load() > slowLatencyFactor*reference || t.hasSlowStreak()
}

// isOpen reports whether the server is neither draining nor blocked for the backoff time
// after a refused connection.
func (t *Tracker) isOpen(now int64) bool {
	return !t.isDraining.Load() && t.blockedUntil.Load() <= now
}

// Release ends a request that was counted as in flight when its Choice was made, and
// wakes waiting requests.
func (t *Tracker) Release() {
	t.progressAt.Store(time.Now().UnixNano())
	t.inFlight.Add(-1)
	t.load.inFlight.Add(-1)
	t.wakeWaiters()
}

// wakeWaiters wakes the first waiting request of each shard that the server holds.
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
		t.successLatencySum += d
		t.backoff = 0
		t.mu.Unlock()
	}
	t.observeState(s)
}

// RecordAbandoned records that a request was abandoned after the given time without an
// answer. A time above the average latency counts as a latency, since the answer would
// have taken at least that time.
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
		next := old + (int64(d)-old)/movingAverageDivisor
		if old == 0 {
			next = int64(d)
		}
		if average.CompareAndSwap(old, next) {
			return
		}
	}
}

// observeServiceTime records the service time of an answer with latency d. If the server
// reports at least as many other requests in flight as it has slots, d includes time
// spent in the server's queue and is reduced in proportion. While the queue grows, fewer
// requests were ahead of the answered request when it arrived than the server reports
// now. The reduction is therefore computed from the lower of this report and the previous
// one. A server that reports wrong numbers is still judged by its latency.
func (t *Tracker) observeServiceTime(d time.Duration, othersInFlight int) {
	concurrent := min(t.othersInFlight.Swap(int32(othersInFlight)), int32(othersInFlight))
	if slots := t.slots.Load(); slots > 0 && concurrent >= slots {
		d = d * time.Duration(slots) / time.Duration(concurrent+1)
	}
	updateAverage(&t.averageServiceTime, d)
	t.updateWindowAndStreak(int64(d))
}

// updateWindowAndStreak adapts the window to a service time and counts consecutive very
// late answers. A few very late answers reveal that the server's caches are cold long
// before the average latency does. Whether an answer is late is judged only by comparison
// with the answers of the other replicas.
func (t *Tracker) updateWindowAndStreak(serviceTime int64) {
	t.lastServiceTime.Store(serviceTime)
	fastest := t.fastestOtherReplica()
	switch {
	case fastest == 0 || serviceTime < slowLatencyFactor*fastest:
		if fastest == 0 || serviceTime < fastest*widenPercent/100 {
			t.window.widenIfFull(t.inFlight.Load(), t.share.Load())
		}
		if t.slowStreak.Load() != 0 {
			t.slowStreak.Store(0)
		}
	case serviceTime >= veryLateFactor*fastest:
		t.window.narrow()
		if t.slowStreak.Add(1) == slowStreakLength {
			// Delays the next probe so that the server can complete the requests that it
			// has accepted.
			t.probedAt.Store(time.Now().UnixNano())
		}
	}
}

// hasSlowStreak reports whether at least the last slowStreakLength answers were very
// late, which indicates that the server's caches are cold.
func (t *Tracker) hasSlowStreak() bool { return t.slowStreak.Load() >= slowStreakLength }

// fastestOtherReplica returns the lowest recent service time among the other open
// replicas of the server's shard, or zero if none is known. The recent service time of a
// replica is its average or, if longer, its last service time.
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

// RecordUnreachable records a refused connection. The server receives no requests for a
// backoff time, and the limit on its requests (its level) is reset to 1.
func (t *Tracker) RecordUnreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.blockedUntil.Store(now.Add(t.backoff).UnixNano())
	t.resetLevel(1)
}

// RecordBrokenConnection records a connection that broke during a request. One broken
// connection may be the fault of the network. A second one within brokenConnectionWindow
// resets the limit on the server's requests (its level) to 1.
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
	t.hasUnsentChange = true
	t.notify()
}

// observeState records the state that the server reported. A new instance ID means that
// the server has restarted. Its caches may then be empty, so the limit on its requests
// (its level) is reset to 1.
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
		t.hasUnsentChange = true
		if restarted {
			t.resetLevel(1)
		}
	}
	if s.Holdings() != nil && !slices.Equal(s.Holdings(), t.knowledge.Holdings) {
		t.knowledge.Holdings = slices.Clone(s.Holdings())
		t.knowledge.Sequence++
		t.hasUnsentChange = true
		t.notify()
	}
	if s.Draining() != t.knowledge.Draining {
		t.knowledge.Draining = s.Draining()
		t.knowledge.Sequence++
		t.isDraining.Store(s.Draining())
		t.hasUnsentChange = true
		t.notify()
	}
}
