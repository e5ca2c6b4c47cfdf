// Package move shifts the traffic of a route from an old pool to a new one by a
// deadline, and takes it back when the new one proves bad.
//
// # Usage
//
// A Mover is the query engine's PoolSelector. It counts how queries end on both
// pools, exchanges the counts with other hosts, and advances each move:
//
//	mover := move.NewMover(move.Options{Host: "kingston-1", Boot: 1733300000000})
//	pool, report := mover.SelectPool(tables, route)
//	mover.Tick(time.Now(), tables, pools)
//	news := mover.News()
//
// A move goes through steps with growing shares. One host leads each move, by
// rendezvous hashing, and takes a step when the joined evidence of the last one
// allows it; the others follow the highest step they hear of. Any host whose
// evidence shows a fault stops the move. A stop is final and needs no store.
//
// The new pool is compared with the old one at the same time, route by route, so
// that what hits both blames neither. Before the trial the new servers are warmed
// by copies of idempotent queries whose answers nobody waits for; latencies seen
// while servers of the new pool are still limited are left out.
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

// State is the state of a move as operators read it. It only goes forward.
type State int

// The states of a move.
const (
	Waiting State = iota
	Trial
	Moving
	Done
	TakenBack
)

//go:generate ../../.bin/enumer -type=State -transform=snake -text -output=state_enumer.go

// shares are the shares of the steps after the trial. Step 0 waits, step 1 is
// the trial with the share of the move's row.
var shares = []float64{0.05, 0.1, 0.2, 0.4, 0.7, 1}

const (
	stepWaiting = 0
	stepTrial   = 1
	// warmShare is the largest share of queries that are copied to the new pool to
	// warm it, and warmInterval the least time between two copies of one host.
	warmShare    = 0.25
	warmInterval = 50 * time.Millisecond
)

var (
	stepFull = stepTrial + len(shares)
	stepDone = stepFull + 1
)

// Progress is how far a move has come. Progress from several hosts is joined by
// taking the highest step and any stop.
type Progress struct {
	Move    string `cbor:"1,keyasint" json:"move"`
	Step    int    `cbor:"2,keyasint" json:"step"`
	Stopped bool   `cbor:"3,keyasint" json:"stopped"`
	Reason  string `cbor:"4,keyasint,omitempty" json:"reason"`
}

// join returns the join of two records of one move.
func (p Progress) join(o Progress) Progress {
	if o.Step > p.Step {
		p.Step = o.Step
	}
	if o.Stopped && !p.Stopped {
		p.Stopped, p.Reason = true, o.Reason
	}
	return p
}

// PoolHealth is what a host sees of the new pool of a move.
type PoolHealth struct {
	// Complete means that a whole snapshot can be read from it.
	Complete bool
	// Warm means that none of its servers is limited.
	Warm bool
}

// Options are the parts of a Mover.
type Options struct {
	Host string
	Boot uint64
	// Hosts returns the identities of the live hosts, this one among them.
	Hosts func() []string
	// Health returns what this host sees of a pool.
	Health func(pool string) PoolHealth
}

// Mover directs queries while moves are under way. It is safe for concurrent
// use; the request path takes no lock.
type Mover struct {
	opts   Options
	active atomic.Pointer[map[string]*run]

	mu       sync.Mutex
	progress map[string]Progress
	dirty    map[string]bool
	loaded   atomic.Bool
}

// NewMover returns a Mover without moves.
func NewMover(opts Options) *Mover {
	m := &Mover{opts: opts, progress: map[string]Progress{}, dirty: map[string]bool{}}
	m.active.Store(&map[string]*run{})
	return m
}

// IsLoaded reports whether the progress of moves was read from a peer or from
// the store since the start.
func (m *Mover) IsLoaded() bool { return m.loaded.Load() }

// SetLoaded records that it was.
func (m *Mover) SetLoaded() { m.loaded.Store(true) }

// SelectPool implements query.PoolSelector.
func (m *Mover) SelectPool(t *table.Tables, route *table.Route) (string, func(query.Report)) {
	row := t.MoveFrom(route.Pool())
	if row == nil {
		return route.Pool(), func(query.Report) {}
	}
	r := (*m.active.Load())[row.ID()]
	if r == nil {
		return route.Pool(), func(query.Report) {}
	}
	counters := r.countersOf(route.Name())
	if rand.Float64() < r.share() {
		return row.To(), func(q query.Report) { counters.fresh.add(q, r.settled.Load()) }
	}
	return row.From(), func(q query.Report) { counters.old.add(q, true) }
}

// SelectWarmupPool returns the pool that a copy of the query should warm, or "", and a
// function to report the end of the copy.
func (m *Mover) SelectWarmupPool(t *table.Tables, route *table.Route) (string, func(query.Report)) {
	row := t.MoveFrom(route.Pool())
	if row == nil || !route.Idempotent() {
		return "", nil
	}
	r := (*m.active.Load())[row.ID()]
	if r == nil || !r.isWarming.Load() || rand.Float64() >= warmShare || !r.takeCopy(time.Now()) {
		return "", nil
	}
	counters := r.countersOf(route.Name())
	return row.To(), func(q query.Report) { counters.fresh.add(q, r.settled.Load()) }
}

// Progress returns the progress of all moves that are known.
func (m *Mover) Progress() []Progress {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sorted(m.progress)
}

func sorted(progress map[string]Progress) []Progress {
	list := lo.Values(progress)
	slices.SortFunc(list, func(a, b Progress) int { return cmp.Compare(a.Move, b.Move) })
	return list
}

// TakeChanged returns the progress that changed since the last call.
func (m *Mover) TakeChanged() []Progress {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Progress
	for id := range m.dirty {
		list = append(list, m.progress[id])
	}
	clear(m.dirty)
	return list
}

// LearnProgress joins the progress that another host or the store knows.
func (m *Mover) LearnProgress(list ...Progress) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range list {
		m.learn(p)
	}
}

// learn joins one record. The caller holds mu.
func (m *Mover) learn(p Progress) {
	old := m.progress[p.Move]
	joined := old.join(p)
	joined.Move = p.Move
	if joined == old {
		return
	}
	m.progress[p.Move] = joined
	m.dirty[p.Move] = true
	if r := (*m.active.Load())[p.Move]; r != nil {
		r.follow(joined)
	}
}

// isLeader reports whether this host takes the steps of a move.
func (m *Mover) isLeader(move string) bool {
	return rendezvous.Rank("move/"+move, m.opts.Host, m.opts.Hosts()) == 0
}

// Status is a move as operators read it.
type Status struct {
	Move   string  `json:"move"`
	State  State   `json:"state"`
	Share  float64 `json:"share"`
	Reason string  `json:"reason"`
}

// Status returns the status of the moves in the tables. A move counts as done or
// taken back only once every live host has followed.
func (m *Mover) Status() []Status {
	runs := *m.active.Load()
	list := []Status{}
	for id, r := range runs {
		list = append(list, Status{Move: id, State: r.state(m.opts.Hosts()), Share: r.share(), Reason: r.reason()})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Move, b.Move) })
	return list
}

// Tick brings the moves in line with the tables and advances them. A controller
// calls it a few times a second.
func (m *Mover) Tick(now time.Time, t *table.Tables) {
	m.adopt(t)
	for id, r := range *m.active.Load() {
		health := m.opts.Health(r.row.To())
		r.observe(now, m.ownEvidence(r), health)
		progress := r.advance(now, health, m.isLeader(id), m.opts.Hosts())
		m.LearnProgress(progress)
	}
}

// adopt starts runs for new rows and drops those that are gone.
func (m *Mover) adopt(t *table.Tables) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.active.Load()
	next := map[string]*run{}
	for _, row := range t.Moves() {
		r := old[row.ID()]
		if r == nil {
			r = newRun(row, t)
			r.follow(m.progress[row.ID()])
		}
		next[row.ID()] = r
	}
	if len(next) != len(old) || lo.SomeBy(lo.Keys(next), func(id string) bool { return old[id] == nil }) {
		m.active.Store(&next)
	}
}
