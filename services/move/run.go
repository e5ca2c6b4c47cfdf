package move

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/services/table"
)

const (
	// maxHistoryEntries is the largest number of entries in the history of counts.
	// historyInterval is the shortest time between two entries.
	maxHistoryEntries = 60
	historyInterval   = 500 * time.Millisecond
	// finalHoldShare is the fraction of a move's duration, at its end, that is reserved
	// for judging the new pool while it has all traffic.
	finalHoldShare = 0.15
	// maxWarmupTimeShare is the fraction of a move's duration after which the move is
	// stopped if its trial has not started. The trial, the first step in which the new
	// pool answers queries, starts only when the new pool is complete and warm.
	maxWarmupTimeShare = 0.5
	// minStepDuration is the shortest duration of one step, in which the new pool gets
	// a fixed share of the traffic.
	minStepDuration = 3 * time.Second
	// minStepQueries is the number of queries on the new pool that give enough evidence
	// to start the next step of the move.
	minStepQueries = 60
	// minFinalHold is the shortest time for which the new pool must have all traffic
	// before a move is done.
	minFinalHold = 5 * time.Second
)

// evidenceWindows are the lengths of the periods, all ending now, over which evidence
// is judged.
var evidenceWindows = []time.Duration{2 * time.Second, 6 * time.Second, 30 * time.Second}

// historyEntry holds the counts of each route, summed over all hosts, at one point in
// time.
type historyEntry struct {
	at     time.Time
	routes map[string]countsPair
}

// moveRun is the state of one move, a shift of traffic from an old pool to a new pool,
// on one host.
type moveRun struct {
	row *table.Move
	// counters has an entry for each route of the old pool. The map is not modified
	// after newMoveRun.
	counters           map[string]*counterPair
	trafficShareScaled atomic.Uint64
	isPoolWarm         atomic.Bool
	// isWarming means that copies of queries may be sent to warm up the new pool.
	isWarming atomic.Bool
	// lastCopyAt is the time of the last copy that this host sent, as a Unix time in
	// nanoseconds.
	lastCopyAt atomic.Int64

	mu              sync.Mutex
	progress        Progress
	stepStartedAt   time.Time
	stepStartCounts countsPair
	// evidence holds the latest evidence of all hosts, including this host, by host and
	// route.
	evidence map[string]Evidence
	// retiredCounts holds, by route, the counts of earlier processes of hosts that have
	// restarted.
	retiredCounts map[string]countsPair
	history       []historyEntry
}

func newMoveRun(row *table.Move, t *table.Tables) *moveRun {
	r := &moveRun{row: row, counters: map[string]*counterPair{}, evidence: map[string]Evidence{}, retiredCounts: map[string]countsPair{}, progress: Progress{Move: row.ID()}}
	for name, route := range t.Routes() {
		if route.Pool() == row.From() {
			r.counters[name] = &counterPair{}
		}
	}
	r.stepStartedAt = time.Now()
	return r
}

// countersOf returns the counters of a route. For a route that was added after the
// moveRun was created, it returns temporary counters: they are not reported to other
// hosts and are no evidence.
func (r *moveRun) countersOf(route string) *counterPair {
	if p := r.counters[route]; p != nil {
		return p
	}
	return &counterPair{}
}

// trafficShareScale is the value of moveRun.trafficShareScaled for a share of 1.
const trafficShareScale = 1 << 20

// trafficShare returns the share of queries that go to the new pool.
func (r *moveRun) trafficShare() float64 {
	return float64(r.trafficShareScaled.Load()) / trafficShareScale
}

func (r *moveRun) setTrafficShare(share float64) {
	r.trafficShareScaled.Store(uint64(share * trafficShareScale))
}

// tryAcquireCopy reports whether a warm-up copy may be sent now. If so, it records the
// copy, so that the next copy must wait for minWarmupInterval.
func (r *moveRun) tryAcquireCopy(now time.Time) bool {
	last := r.lastCopyAt.Load()
	return now.UnixNano()-last >= int64(minWarmupInterval) && r.lastCopyAt.CompareAndSwap(last, now.UnixNano())
}

// applyProgress merges progress and sets the new pool's share of the traffic to the
// share of the resulting step, or to zero if the move is stopped.
func (r *moveRun) applyProgress(p Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Step != r.progress.Step {
		r.stepStartedAt = time.Now()
		r.stepStartCounts = r.totalCounts()
	}
	r.progress = r.progress.merge(p)
	r.isWarming.Store(!r.progress.Stopped && r.progress.Step == stepWaiting)
	switch {
	case r.progress.Stopped || r.progress.Step == stepWaiting:
		r.setTrafficShare(0)
	case r.progress.Step == stepTrial:
		r.setTrafficShare(r.row.TrialShare())
	default:
		r.setTrafficShare(stepShares[min(r.progress.Step-stepTrial, len(stepShares))-1])
	}
}

func (r *moveRun) stopReason() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.Reason
}

// appliedStep returns the step of the move that this host applies, or -1 if the move is
// stopped.
func (r *moveRun) appliedStep() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.progress.Stopped {
		return -1
	}
	return r.progress.Step
}

// state returns the state that is shown to operators. A final state, Done or
// RolledBack, is returned only if every live host sends all queries to the new pool or,
// after a stop, none.
func (r *moveRun) state(hosts []string) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	isApplied := r.isAppliedByAll(hosts)
	switch {
	case r.progress.Stopped && isApplied:
		return RolledBack
	case r.progress.Step == stepWaiting:
		return Waiting
	case r.progress.Step == stepTrial:
		return Trial
	case r.progress.Step == stepDone && isApplied:
		return Done
	default:
		return Moving
	}
}

// isAppliedByAll reports whether all given hosts apply the step of the move that this
// host applies, or a later one. If the move is stopped, it reports whether they apply
// the stop. The caller holds mu.
func (r *moveRun) isAppliedByAll(hosts []string) bool {
	want := r.progress.Step
	if r.progress.Stopped {
		want = -1
	}
	applied := map[string]int{}
	for _, e := range r.evidence {
		applied[e.Host] = e.Applied
	}
	return !slices.ContainsFunc(hosts, func(h string) bool {
		a, ok := applied[h]
		return !ok || (want < 0 && a >= 0) || (want >= 0 && a < min(want, stepFull))
	})
}

// mergeEvidence records the evidence of one host on one route, unless newer evidence of
// that host on that route is known. If the host has restarted, the counts of its
// earlier process are added to retiredCounts.
func (r *moveRun) mergeEvidence(e Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := e.Host + "\x00" + e.Route
	old, ok := r.evidence[key]
	switch {
	case ok && e.Incarnation < old.Incarnation:
		return
	case ok && e.Incarnation == old.Incarnation && e.NewPool.Queries+e.OldPool.Queries < old.NewPool.Queries+old.OldPool.Queries:
		return
	case ok && e.Incarnation > old.Incarnation:
		r.retiredCounts[e.Route] = r.retiredCounts[e.Route].plus(countsPair{old.OldPool, old.NewPool})
	}
	r.evidence[key] = e
}

// countsByRoute returns the counts of each route, summed over all hosts. The caller
// holds mu.
func (r *moveRun) countsByRoute() map[string]countsPair {
	routes := map[string]countsPair{}
	for route, counts := range r.retiredCounts {
		routes[route] = counts
	}
	for _, e := range r.evidence {
		routes[e.Route] = routes[e.Route].plus(countsPair{e.OldPool, e.NewPool})
	}
	return routes
}

// totalCounts returns the counts summed over all routes and hosts. The caller holds mu.
func (r *moveRun) totalCounts() countsPair {
	var all countsPair
	for _, counts := range r.countsByRoute() {
		all = all.plus(counts)
	}
	return all
}

// recordEvidence merges this host's own evidence and records whether the new pool is
// warm. It adds an entry to the history of counts if the last entry is at least
// historyInterval old.
func (r *moveRun) recordEvidence(now time.Time, own []Evidence, health PoolHealth) {
	r.isPoolWarm.Store(health.Warm)
	for _, e := range own {
		r.mergeEvidence(e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.history); n > 0 && now.Sub(r.history[n-1].at) < historyInterval {
		return
	}
	r.history = append(r.history, historyEntry{now, r.countsByRoute()})
	if len(r.history) > maxHistoryEntries {
		r.history = r.history[1:]
	}
}

// findFault returns a description of a fault of the new pool that the evidence shows,
// or "" if it shows none. The caller holds mu.
func (r *moveRun) findFault(now time.Time) string {
	current := r.countsByRoute()
	for _, window := range evidenceWindows {
		before := r.countsAt(now.Add(-window))
		for route, counts := range current {
			recent := counts.minus(before[route])
			switch {
			case recent.failsMoreOften():
				return fmt.Sprintf("route %s fails more often on the new pool: %s", route, recent.failureText(window))
			case recent.isSlower():
				return fmt.Sprintf("route %s is slower on the new pool: %s", route, recent.latencyText(window))
			}
		}
	}
	return ""
}

// countsAt returns the counts of each route in the last history entry that is not later
// than the given time, or nil if there is no such entry. The caller holds mu.
func (r *moveRun) countsAt(at time.Time) map[string]countsPair {
	var found map[string]countsPair
	for _, entry := range r.history {
		if entry.at.After(at) {
			break
		}
		found = entry.routes
	}
	return found
}

// advance judges the evidence and returns the resulting progress of the move. A fault
// of the new pool stops the move. Otherwise, if this host leads the move and the next
// step may start, the progress has the next step.
func (r *moveRun) advance(now time.Time, health PoolHealth, isLeader bool, hosts []string) Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress
	if p.Stopped || p.Step == stepDone {
		return p
	}
	if reason := r.findFault(now); reason != "" {
		p.Stopped, p.Reason = true, reason
		return p
	}
	if !isLeader || now.Before(r.row.Start()) {
		return p
	}
	if p.Step == stepWaiting {
		return r.startTrial(now, health, p)
	}
	if r.mayAdvance(now, health, hosts) {
		p.Step++
	}
	return p
}

// startTrial starts the trial once the new pool is complete and warm. If
// maxWarmupTimeShare of the move's duration has passed and the new pool is still not
// complete and warm, it stops the move.
func (r *moveRun) startTrial(now time.Time, health PoolHealth, p Progress) Progress {
	switch {
	case health.Complete && health.Warm:
		p.Step = stepTrial
	case now.Sub(r.row.Start()) > time.Duration(maxWarmupTimeShare*float64(r.row.Deadline().Sub(r.row.Start()))):
		p.Stopped, p.Reason = true, "the new pool was not whole and warm in time"
	}
	return p
}

// mayAdvance reports whether the current step has lasted long enough and has given
// enough evidence for the next step to start. If queries are too rare to give enough
// evidence, the remaining time is divided equally among the steps left, so that the
// move still meets its deadline.
func (r *moveRun) mayAdvance(now time.Time, health PoolHealth, hosts []string) bool {
	length := r.row.Deadline().Sub(r.row.Start())
	end := r.row.Deadline().Add(-time.Duration(finalHoldShare * float64(length)))
	elapsed := now.Sub(r.stepStartedAt)
	if r.progress.Step == stepFull {
		hold := max(minFinalHold, time.Duration(finalHoldShare*float64(length)/3))
		return elapsed >= hold && r.isAppliedByAll(hosts)
	}
	stepsLeft := stepFull - r.progress.Step
	timePerStep := max(minStepDuration, end.Sub(now)/time.Duration(stepsLeft))
	newQueries := r.totalCounts().newPool.Queries - r.stepStartCounts.newPool.Queries
	hasEnoughQueries := newQueries >= minStepQueries && health.Warm
	if hasEnoughQueries {
		return elapsed >= minStepDuration
	}
	return elapsed >= timePerStep && health.Complete
}
