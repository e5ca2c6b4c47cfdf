// Package table holds the two tables that operators edit, routes and pools, and
// joins them into one configuration.
//
// # Usage
//
// Join parses both documents and returns either a configuration or every
// problem in them, each with its table, row and field:
//
//	tables, problems := table.Join(routesJSON, poolsJSON)
//
// A Configuration is a joined pair with the generation under which it was
// accepted. It is immutable and safe for concurrent use. The documents are
// described field by field in docs/TABLES.md.
package table

import (
	"net/netip"
	"time"

	"github.com/samber/lo"
)

// Priority orders routes under overload. A higher one is served first.
type Priority int

// The priorities of routes.
const (
	Normal Priority = iota
	Low
	High
)

//go:generate ../../.bin/enumer -type=Priority -transform=snake -text -output=priority_enumer.go

// Route says what callers may ask.
type Route struct {
	name       string
	pool       string
	idempotent bool
	partial    bool
	priority   Priority
	timeout    time.Duration
}

// Name returns the name that callers put in the path.
func (r *Route) Name() string { return r.name }

// Pool returns the name of the pool that serves the route.
func (r *Route) Pool() string { return r.pool }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Partial reports whether an answer with missing shards is allowed.
func (r *Route) Partial() bool { return r.partial }

// Priority returns the priority under overload.
func (r *Route) Priority() Priority { return r.priority }

// Timeout returns the timeout of requests that name none.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Upstream is one server of a pool.
type Upstream struct {
	id       string
	address  netip.AddrPort
	dc       string
	draining bool
}

// NewUpstream returns an Upstream.
func NewUpstream(id string, address netip.AddrPort, dc string, draining bool) *Upstream {
	return &Upstream{id: id, address: address, dc: dc, draining: draining}
}

// ID returns the identity of the server, unique in the pools table.
func (u *Upstream) ID() string { return u.id }

// Address returns the IP address and port of the server.
func (u *Upstream) Address() netip.AddrPort { return u.address }

// DataCentre returns where the server stands.
func (u *Upstream) DataCentre() string { return u.dc }

// Draining reports whether the operators take the server out.
func (u *Upstream) Draining() bool { return u.draining }

// Pool says which servers serve.
type Pool struct {
	name        string
	slots       int
	connections int
	upstreams   []*Upstream
}

// Name returns the name that routes refer to.
func (p *Pool) Name() string { return p.name }

// Slots returns how many requests one server runs at once.
func (p *Pool) Slots() int { return p.slots }

// Connections returns how many connections one server accepts.
func (p *Pool) Connections() int { return p.connections }

// Upstreams returns the servers. The slice must not be modified.
func (p *Pool) Upstreams() []*Upstream { return p.upstreams }

// Move is a row that moves the traffic of one pool to another.
type Move struct {
	id         string
	from       string
	to         string
	start      time.Time
	deadline   time.Time
	trialShare float64
}

// ID returns the identity of the move. A new attempt needs a new one.
func (m *Move) ID() string { return m.id }

// From returns the pool that loses traffic.
func (m *Move) From() string { return m.from }

// To returns the pool that gains traffic.
func (m *Move) To() string { return m.to }

// Start returns when the move begins.
func (m *Move) Start() time.Time { return m.start }

// Deadline returns when all traffic must have moved.
func (m *Move) Deadline() time.Time { return m.deadline }

// TrialShare returns the largest share of traffic that the new pool gets while
// it is on trial.
func (m *Move) TrialShare() float64 { return m.trialShare }

// Tables are a parsed and joined pair of tables.
type Tables struct {
	routes  map[string]*Route
	pools   map[string]*Pool
	moves   map[string]*Move
	drained map[string]bool
}

// Route returns the route of a name, or nil.
func (t *Tables) Route(name string) *Route { return t.routes[name] }

// Routes returns all routes by name. The map must not be modified.
func (t *Tables) Routes() map[string]*Route { return t.routes }

// Pool returns the pool of a name, or nil.
func (t *Tables) Pool(name string) *Pool { return t.pools[name] }

// Pools returns all pools by name. The map must not be modified.
func (t *Tables) Pools() map[string]*Pool { return t.pools }

// MoveFrom returns the move that takes traffic away from a pool, or nil.
func (t *Tables) MoveFrom(pool string) *Move { return t.moves[pool] }

// Moves returns all moves.
func (t *Tables) Moves() []*Move { return lo.Values(t.moves) }

// IsDrained reports whether the operators have taken a DataCentre out.
func (t *Tables) IsDrained(dc string) bool { return t.drained[dc] }

// AcceptsWork reports whether a server may be given new work.
func (t *Tables) AcceptsWork(u *Upstream) bool { return !u.draining && !t.drained[u.dc] }

// UpstreamCount returns the number of servers in all pools.
func (t *Tables) UpstreamCount() int {
	return lo.SumBy(lo.Values(t.pools), func(p *Pool) int { return len(p.upstreams) })
}

// Configuration is a joined pair of tables under its generation. The zero value
// is the absence of a configuration.
type Configuration struct {
	*Tables
	generation uint64
	document   []byte
}

// Generation returns the number under which the pair was accepted; it only
// grows. Zero means that there is none.
func (c *Configuration) Generation() uint64 {
	if c == nil {
		return 0
	}
	return c.generation
}

// Document returns the accepted object as the store holds it.
func (c *Configuration) Document() []byte { return c.document }

// MarshalJSON returns a summary for the state dump.
func (c *Configuration) MarshalJSON() ([]byte, error) { return c.summary() }
