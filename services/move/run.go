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
	// historyLength and historyInterval are the window of sums that is kept.
	historyLength   = 60
	historyInterval = 500 * time.Millisecond
	// holdShare is the part of a move's time that is kept for judging the full
	// share.
	holdShare = 0.15
	// warmLimit is the part of a move's time after which it is taken back if the
	// new pool was never whole and warm.
	warmLimit = 0.5
	// minimumStep is the shortest time of one step.
	minimumStep = 3 * time.Second
	// stepQueries is how many queries on the new pool one step needs.
	stepQueries = 60
	// finalHold is the shortest time at the full share before a move is done.
	finalHold = 5 * time.Second
)

// windows are the times over which evidence is judged.
var windows = []time.Duration{2 * time.Second, 6 * time.Second, 30 * time.Second}

type sums struct {
	at     time.Time
	routes map[string]both
}

// run is one move on one host.
type run struct {
	row *table.Move
	// counters hold an entry for each route of the old pool. The map is not
	// modified after the run was made.
	counters map[string]*pair
	shareBit atomic.Uint64
	settled  atomic.Bool
	// isWarming lets copies warm the new pool.
	isWarming atomic.Bool
	copiedAt  atomic.Int64

	mu       sync.Mutex
	progress Progress
	stepAt   time.Time
	startAt  both
	remote   map[string]Evidence
	// retired sums what earlier processes of restarted hosts had counted.
	retired map[string]both
	history []sums
}

func newRun(row *table.Move, t *table.Tables) *run {
	r := &run{row: row, counters: map[string]*pair{}, remote: map[string]Evidence{}, retired: map[string]both{}, progress: Progress{Move: row.ID()}}
	for name, route := range t.Routes() {
		if route.Pool() == row.From() {
			r.counters[name] = &pair{}
		}
	}
	r.stepAt = time.Now()
	return r
}

// countersOf returns the counters of a route. A route that joined later shares
// one that is not reported.
func (r *run) countersOf(route string) *pair {
	if p := r.counters[route]; p != nil {
		return p
	}
	return &pair{}
}

const shareUnit = 1 << 20

// share returns the share of queries for the new pool.
func (r *run) share() float64 { return float64(r.shareBit.Load()) / shareUnit }

func (r *run) setShare(share float64) { r.shareBit.Store(uint64(share * shareUnit)) }

// takeCopy reports whether a copy may be sent now.
func (r *run) takeCopy(now time.Time) bool {
	last := r.copiedAt.Load()
	return now.UnixNano()-last >= int64(warmInterval) && r.copiedAt.CompareAndSwap(last, now.UnixNano())
}

// follow takes over progress.
func (r *run) follow(p Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Step != r.progress.Step {
		r.stepAt = time.Now()
		r.startAt = r.total()
	}
	r.progress = r.progress.join(p)
	r.isWarming.Store(!r.progress.Stopped && r.progress.Step == stepWaiting)
	switch {
	case r.progress.Stopped || r.progress.Step == stepWaiting:
		r.setShare(0)
	case r.progress.Step == stepTrial:
		r.setShare(r.row.TrialShare())
	default:
		r.setShare(shares[min(r.progress.Step-stepTrial, len(shares))-1])
	}
}

func (r *run) reason() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.Reason
}

// applied returns the step that this host follows, or -1 after a stop.
func (r *run) applied() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.progress.Stopped {
		return -1
	}
	return r.progress.Step
}

// state returns the state that operators read. The last states need that every
// live host follows.
func (r *run) state(hosts []string) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	everywhere := r.isEverywhere(hosts)
	switch {
	case r.progress.Stopped && everywhere:
		return TakenBack
	case r.progress.Step == stepWaiting:
		return Waiting
	case r.progress.Step == stepTrial:
		return Trial
	case r.progress.Step == stepDone && everywhere:
		return Done
	default:
		return Moving
	}
}

// isEverywhere reports whether all hosts apply the progress of this one. The
// caller holds mu.
func (r *run) isEverywhere(hosts []string) bool {
	want := r.progress.Step
	if r.progress.Stopped {
		want = -1
	}
	applied := map[string]int{}
	for _, e := range r.remote {
		applied[e.Host] = e.Applied
	}
	return !slices.ContainsFunc(hosts, func(h string) bool {
		a, ok := applied[h]
		return !ok || (want < 0 && a >= 0) || (want >= 0 && a < min(want, stepFull))
	})
}

// learn takes in the evidence of one host, unless newer is known.
func (r *run) learn(e Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := e.Host + "\x00" + e.Route
	old, ok := r.remote[key]
	switch {
	case ok && e.Boot < old.Boot:
		return
	case ok && e.Boot == old.Boot && e.Fresh.Queries+e.Old.Queries < old.Fresh.Queries+old.Old.Queries:
		return
	case ok && e.Boot > old.Boot:
		r.retired[e.Route] = r.retired[e.Route].plus(both{old.Old, old.Fresh})
	}
	r.remote[key] = e
}

// totals returns the sums of each route over all hosts. The caller holds mu.
func (r *run) totals() map[string]both {
	routes := map[string]both{}
	for route, b := range r.retired {
		routes[route] = b
	}
	for _, e := range r.remote {
		routes[e.Route] = routes[e.Route].plus(both{e.Old, e.Fresh})
	}
	return routes
}

// total returns the sum over all routes. The caller holds mu.
func (r *run) total() both {
	var all both
	for _, b := range r.totals() {
		all = all.plus(b)
	}
	return all
}

// observe takes in this host's own counts and keeps the history of sums.
func (r *run) observe(now time.Time, own []Evidence, health PoolHealth) {
	r.settled.Store(health.Warm)
	for _, e := range own {
		r.learn(e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.history); n > 0 && now.Sub(r.history[n-1].at) < historyInterval {
		return
	}
	r.history = append(r.history, sums{now, r.totals()})
	if len(r.history) > historyLength {
		r.history = r.history[1:]
	}
}

// fault returns what is wrong with the new pool, or "". The caller holds mu.
func (r *run) fault(now time.Time) string {
	current := r.totals()
	for _, window := range windows {
		before := r.before(now.Add(-window))
		for route, b := range current {
			recent := b.minus(before[route])
			switch {
			case recent.failsMore():
				return fmt.Sprintf("route %s fails more often on the new pool: %s", route, recent.failureText(window))
			case recent.isSlower():
				return fmt.Sprintf("route %s is slower on the new pool: %s", route, recent.latencyText(window))
			}
		}
	}
	return ""
}

// before returns the sums at a time, or at the start of the history. The caller
// holds mu.
func (r *run) before(at time.Time) map[string]both {
	var found map[string]both
	for _, s := range r.history {
		if s.at.After(at) {
			break
		}
		found = s.routes
	}
	return found
}

// advance judges the evidence and, on the leader, takes the next step.
func (r *run) advance(now time.Time, health PoolHealth, isLeader bool, hosts []string) Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress
	if p.Stopped || p.Step == stepDone {
		return p
	}
	if reason := r.fault(now); reason != "" {
		p.Stopped, p.Reason = true, reason
		return p
	}
	if !isLeader || now.Before(r.row.Start()) {
		return p
	}
	if p.Step == stepWaiting {
		return r.begin(now, health, p)
	}
	if r.mayStep(now, health, hosts) {
		p.Step++
	}
	return p
}

// begin starts the trial once the new pool is whole and warm, and gives up if it
// never is.
func (r *run) begin(now time.Time, health PoolHealth, p Progress) Progress {
	switch {
	case health.Complete && health.Warm:
		p.Step = stepTrial
	case now.Sub(r.row.Start()) > time.Duration(warmLimit*float64(r.row.Deadline().Sub(r.row.Start()))):
		p.Stopped, p.Reason = true, "the new pool was not whole and warm in time"
	}
	return p
}

// mayStep reports whether the step has lasted long enough and shown enough. The
// steps left share the time left, so that the deadline is kept; evidence that is
// rarer than that does not hold a move up.
func (r *run) mayStep(now time.Time, health PoolHealth, hosts []string) bool {
	length := r.row.Deadline().Sub(r.row.Start())
	end := r.row.Deadline().Add(-time.Duration(holdShare * float64(length)))
	inStep := now.Sub(r.stepAt)
	if r.progress.Step == stepFull {
		hold := max(finalHold, time.Duration(holdShare*float64(length)/3))
		return inStep >= hold && r.isEverywhere(hosts)
	}
	stepsLeft := stepFull - r.progress.Step
	pace := max(minimumStep, end.Sub(now)/time.Duration(stepsLeft))
	fresh := r.total().fresh.Queries - r.startAt.fresh.Queries
	enough := fresh >= stepQueries && health.Warm
	if enough {
		return inStep >= minimumStep
	}
	return inStep >= pace && health.Complete
}
