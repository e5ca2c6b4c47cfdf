// Package move shifts the traffic of routes from an old pool to a new pool by a
// deadline. If the new pool fails more often or is slower, the traffic returns to the
// old pool.
//
// # Usage
//
// A Mover is the query engine's PoolSelector: it selects the pool for each query. It
// counts how queries end on both pools, provides these counts to other hosts, and
// advances each move:
//
//	mover := move.NewMover(move.Options{Host: "kingston-1", Incarnation: 1733300000000})
//	pool, report := mover.SelectPool(tables, route)
//	mover.Tick(time.Now(), tables)
//	evidence := mover.Evidence()
//
// A move goes through steps in which the new pool gets a growing share of the traffic;
// the first of them is the trial. One host, chosen by rendezvous hashing, leads each
// move. The leader starts the next step when the merged evidence of all hosts allows
// this. The other hosts apply the highest step that they learn of. Any host whose
// evidence shows a fault of the new pool stops the move. A stop is final and works
// without the store.
//
// The new pool is compared with the old pool over the same period, route by route, so
// that a disturbance that affects both pools is not blamed on the new pool. Before the
// trial, the new servers are warmed up with copies of idempotent queries whose answers
// are discarded. Latencies measured while the new pool is not warm are not counted.
package move

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/godwithatch/godwithatch/modules/rendezvous"
	"github.com/godwithatch/godwithatch/services/query"
	"github.com/godwithatch/godwithatch/services/table"
)

// State is the state of a move as shown to operators. It never returns to an earlier
// state.
type State int

// The states of a move.
const (
	Waiting State = iota
	Trial
	Moving
	Done
	RolledBack // taken_back
)

//go:generate ../../.bin/enumer -type=State -transform=snake -linecomment -text -output=state_enumer.go

// stepShares are the new pool's shares of the traffic in the steps after the trial. In
// step 0, the move waits until the new pool is complete and warm. Step 1 is the trial,
// in which the new pool gets the move's trial share.
var stepShares = []float64{0.05, 0.1, 0.2, 0.4, 0.7, 1}

const (
	stepWaiting = 0
	stepTrial   = 1
	// maxWarmupShare is the largest share of queries that are copied to the new pool to
	// warm it up. minWarmupInterval is the shortest time between two copies that a host
	// sends for one move.
	maxWarmupShare    = 0.25
	minWarmupInterval = 50 * time.Millisecond
)

var (
	stepFull = stepTrial + len(stepShares)
	stepDone = stepFull + 1
)

// Progress is the step that a move has reached and whether the move was stopped. When
// the progress from several hosts is merged, the highest step counts, and the move is
// stopped if any host has stopped it.
type Progress struct {
	Move    string `cbor:"1,keyasint" json:"move"`
	Step    int    `cbor:"2,keyasint" json:"step"`
	Stopped bool   `cbor:"3,keyasint" json:"stopped"`
	Reason  string `cbor:"4,keyasint,omitempty" json:"reason"`
}

// merge merges two records of one move. The result has the higher step, and it is
// stopped if either record is stopped. If both records are stopped, the result has the
// reason of p.
func (p Progress) merge(o Progress) Progress {
	if o.Step > p.Step {
		p.Step = o.Step
	}
	if o.Stopped && !p.Stopped {
		p.Stopped, p.Reason = true, o.Reason
	}
	return p
}

// PoolHealth is the health of the new pool of a move as seen by one host.
type PoolHealth struct {
	// Complete means that every shard of the pool's preferred snapshot has a server.
	Complete bool
	// Warm means that most servers of the pool have finished their ramp-up, during
	// which requests to a server are limited because its caches may be empty.
	Warm bool
}

// Options holds the dependencies and settings of a Mover.
type Options struct {
	Host string
	// Incarnation identifies the process of this host. A later process has a higher
	// number.
	Incarnation uint64
	// Hosts returns the IDs of the live hosts, including this one.
	Hosts func() []string
	// Health returns the health of a pool as seen by this host.
	Health func(pool string) PoolHealth
}

// Mover selects the pool of queries while moves are in progress. It is safe for
// concurrent use. The request path takes no lock.
type Mover struct {
	opts Options
	runs atomic.Pointer[map[string]*moveRun]

	mu       sync.Mutex
	progress map[string]Progress
	changed  map[string]bool
	isLoaded atomic.Bool
}

// NewMover returns a Mover without moves.
func NewMover(opts Options) *Mover {
	m := &Mover{opts: opts, progress: map[string]Progress{}, changed: map[string]bool{}}
	m.runs.Store(&map[string]*moveRun{})
	return m
}

// IsLoaded reports whether this process has read the progress of moves from another
// host or from the store.
func (m *Mover) IsLoaded() bool { return m.isLoaded.Load() }

// MarkLoaded records that the progress of moves was read from another host or from the
// store.
func (m *Mover) MarkLoaded() { m.isLoaded.Store(true) }

// SelectPool implements query.PoolSelector.
func (m *Mover) SelectPool(t *table.Tables, route *table.Route) (string, func(query.Report)) {
	row := t.MoveFrom(route.Pool())
	if row == nil {
		return route.Pool(), func(query.Report) {}
	}
	r := (*m.runs.Load())[row.ID()]
	if r == nil {
		return route.Pool(), func(query.Report) {}
	}
	counters := r.countersOf(route.Name())
	if rand.Float64() < r.trafficShare() {
		return row.To(), func(q query.Report) { counters.newPool.add(q, r.isPoolWarm.Load()) }
	}
	return row.From(), func(q query.Report) { counters.oldPool.add(q, true) }
}

// SelectWarmupPool implements query.PoolSelector.
func (m *Mover) SelectWarmupPool(t *table.Tables, route *table.Route) (string, func(query.Report)) {
	row := t.MoveFrom(route.Pool())
	if row == nil || !route.IsIdempotent() {
		return "", nil
	}
	r := (*m.runs.Load())[row.ID()]
	if r == nil || !r.isWarming.Load() || rand.Float64() >= maxWarmupShare || !r.tryAcquireCopy(time.Now()) {
		return "", nil
	}
	counters := r.countersOf(route.Name())
	return row.To(), func(q query.Report) { counters.newPool.add(q, r.isPoolWarm.Load()) }
}

// Progress returns the progress of all known moves, ordered by ID.
func (m *Mover) Progress() []Progress {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sortedByMove(m.progress)
}

func sortedByMove(progress map[string]Progress) []Progress {
	list := lo.Values(progress)
	slices.SortFunc(list, func(a, b Progress) int { return cmp.Compare(a.Move, b.Move) })
	return list
}

// TakeChanged returns the progress of each move whose progress changed since the last
// call.
func (m *Mover) TakeChanged() []Progress {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Progress
	for id := range m.changed {
		list = append(list, m.progress[id])
	}
	clear(m.changed)
	return list
}

// MergeProgress merges progress that was read from another host or from the store.
func (m *Mover) MergeProgress(list ...Progress) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range list {
		m.mergeProgress(p)
	}
}

// mergeProgress merges one record and applies the result to the run of the record's
// move. The caller holds mu.
func (m *Mover) mergeProgress(p Progress) {
	old := m.progress[p.Move]
	merged := old.merge(p)
	merged.Move = p.Move
	if merged == old {
		return
	}
	m.progress[p.Move] = merged
	m.changed[p.Move] = true
	if r := (*m.runs.Load())[p.Move]; r != nil {
		r.applyProgress(merged)
	}
}

// isLeader reports whether this host leads a move.
func (m *Mover) isLeader(move string) bool {
	return rendezvous.Rank("move/"+move, m.opts.Host, m.opts.Hosts()) == 0
}

// Status is the status of a move as shown to operators.
type Status struct {
	Move   string  `json:"move"`
	State  State   `json:"state"`
	Share  float64 `json:"share"`
	Reason string  `json:"reason"`
}

// Status returns the status of the moves in the tables, ordered by ID. A move is
// reported as done or rolled back only after every live host sends all queries to the
// new pool or, after a stop, none.
func (m *Mover) Status() []Status {
	runs := *m.runs.Load()
	list := []Status{}
	for id, r := range runs {
		list = append(list, Status{Move: id, State: r.state(m.opts.Hosts()), Share: r.trafficShare(), Reason: r.stopReason()})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Move, b.Move) })
	return list
}

// Tick updates the set of moves from the tables and advances each move. A controller
// calls it a few times a second.
func (m *Mover) Tick(now time.Time, t *table.Tables) {
	m.syncRuns(t)
	for id, r := range *m.runs.Load() {
		health := m.opts.Health(r.row.To())
		r.recordEvidence(now, m.ownEvidence(r), health)
		progress := r.advance(now, health, m.isLeader(id), m.opts.Hosts())
		m.MergeProgress(progress)
	}
}

// syncRuns creates the state of moves that were added to the tables, and drops the
// state of moves that were removed.
func (m *Mover) syncRuns(t *table.Tables) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.runs.Load()
	next := map[string]*moveRun{}
	for _, row := range t.Moves() {
		r := old[row.ID()]
		if r == nil {
			r = newMoveRun(row, t)
			r.applyProgress(m.progress[row.ID()])
		}
		next[row.ID()] = r
	}
	if len(next) != len(old) || lo.SomeBy(lo.Keys(next), func(id string) bool { return old[id] == nil }) {
		m.runs.Store(&next)
	}
}
