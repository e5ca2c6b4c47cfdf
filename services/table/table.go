// Package table parses and validates the two tables that operators edit, routes
// and pools, and joins them into one configuration.
//
// # Usage
//
// Join parses both documents and returns either the joined tables or every problem
// in them, each with its table, row and field:
//
//	tables, problems := table.Join(routesJSON, poolsJSON)
//
// A Configuration is a joined pair of tables with its generation, the number under which
// the pair was accepted. It is immutable and safe for concurrent use. docs/TABLES.md
// describes every field of the documents.
package table

import (
	"net/netip"
	"time"

	"github.com/samber/lo"
)

// Priority decides which requests are served first under overload: those of High
// routes, then those of Normal routes, then those of Low routes. The numeric values
// are not in this order; the zero value is Normal.
type Priority int

// The priorities of routes.
const (
	Normal Priority = iota
	Low
	High
)

//go:generate ../../.bin/enumer -type=Priority -transform=snake -text -output=priority_enumer.go

// Route describes one type of query that callers may send: which pool serves it, and
// with which priority and timeout.
type Route struct {
	name          string
	pool          string
	isIdempotent  bool
	allowsPartial bool
	priority      Priority
	timeout       time.Duration
}

// Name returns the name that callers put in the request path.
func (r *Route) Name() string { return r.name }

// Pool returns the name of the pool that serves the route.
func (r *Route) Pool() string { return r.pool }

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool { return r.isIdempotent }

// AllowsPartial reports whether an answer may lack the replies of some shards.
func (r *Route) AllowsPartial() bool { return r.allowsPartial }

// Priority returns the priority of the route's requests under overload.
func (r *Route) Priority() Priority { return r.priority }

// Timeout returns the timeout of requests that do not specify one.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Upstream is one server of a pool.
type Upstream struct {
	id         string
	address    netip.AddrPort
	dataCentre string
	isDraining bool
}

// NewUpstream returns a server of a pool. The id must be unique in the pools table.
func NewUpstream(id string, address netip.AddrPort, dataCentre string, isDraining bool) *Upstream {
	return &Upstream{id: id, address: address, dataCentre: dataCentre, isDraining: isDraining}
}

// ID returns the identifier of the server, which is unique in the pools table.
func (u *Upstream) ID() string { return u.id }

// Address returns the IP address and port of the server.
func (u *Upstream) Address() netip.AddrPort { return u.address }

// DataCentre returns the name of the data centre that the server is in.
func (u *Upstream) DataCentre() string { return u.dataCentre }

// IsDraining reports whether the operators are draining the server, so that it must
// not receive new requests.
func (u *Upstream) IsDraining() bool { return u.isDraining }

// Pool is a group of servers to which routes refer by name.
type Pool struct {
	name                 string
	slots                int
	connectionsPerServer int
	upstreams            []*Upstream
}

// Name returns the name by which routes and moves refer to the pool.
func (p *Pool) Name() string { return p.name }

// Slots returns the number of requests that one server of the pool runs at the same
// time.
func (p *Pool) Slots() int { return p.slots }

// Connections returns the number of connections that one server of the pool accepts.
func (p *Pool) Connections() int { return p.connectionsPerServer }

// Upstreams returns the servers of the pool. The slice must not be modified.
func (p *Pool) Upstreams() []*Upstream { return p.upstreams }

// Move is a row of the pools table by which operators shift the traffic of one pool
// to another.
type Move struct {
	id         string
	from       string
	to         string
	start      time.Time
	deadline   time.Time
	trialShare float64
}

// ID returns the identifier of the move. To repeat a move, the operators must give it
// a new identifier.
func (m *Move) ID() string { return m.id }

// From returns the name of the pool that loses the traffic.
func (m *Move) From() string { return m.from }

// To returns the name of the pool that gains the traffic.
func (m *Move) To() string { return m.to }

// Start returns the time at which the move begins.
func (m *Move) Start() time.Time { return m.start }

// Deadline returns the time by which all traffic must have moved.
func (m *Move) Deadline() time.Time { return m.deadline }

// TrialShare returns the largest share of the traffic, as a fraction, that the new
// pool receives while the move is on trial.
func (m *Move) TrialShare() float64 { return m.trialShare }

// Tables holds a parsed, validated and joined pair of tables.
type Tables struct {
	routes  map[string]*Route
	pools   map[string]*Pool
	moves   map[string]*Move // keyed by the pool that loses traffic
	drained map[string]bool  // keyed by data centre
}

// Route returns the route with the given name, or nil if there is none.
func (t *Tables) Route(name string) *Route { return t.routes[name] }

// Routes returns all routes, keyed by name. The map must not be modified.
func (t *Tables) Routes() map[string]*Route { return t.routes }

// Pool returns the pool with the given name, or nil if there is none.
func (t *Tables) Pool(name string) *Pool { return t.pools[name] }

// Pools returns all pools, keyed by name. The map must not be modified.
func (t *Tables) Pools() map[string]*Pool { return t.pools }

// MoveFrom returns the move that shifts the traffic of the given pool to another one,
// or nil if there is none.
func (t *Tables) MoveFrom(pool string) *Move { return t.moves[pool] }

// Moves returns all moves, in no particular order.
func (t *Tables) Moves() []*Move { return lo.Values(t.moves) }

// IsDrained reports whether the operators have drained a data centre.
func (t *Tables) IsDrained(dataCentre string) bool { return t.drained[dataCentre] }

// AcceptsWork reports whether a server may receive new requests: the operators have
// drained neither the server nor its data centre.
func (t *Tables) AcceptsWork(u *Upstream) bool { return !u.isDraining && !t.drained[u.dataCentre] }

// UpstreamCount returns the number of servers in all pools.
func (t *Tables) UpstreamCount() int {
	return lo.SumBy(lo.Values(t.pools), func(p *Pool) int { return len(p.upstreams) })
}

// Configuration is a joined pair of tables with its generation. The zero value means
// that there is no configuration.
type Configuration struct {
	*Tables
	generation uint64
	document   []byte
}

// Generation returns the number under which the pair was accepted. Each accepted pair
// has a higher number than the pair before it. Zero means that there is no
// configuration.
func (c *Configuration) Generation() uint64 {
	if c == nil {
		return 0
	}
	return c.generation
}

// Document returns the encoded store object that records the pair of tables as accepted.
func (c *Configuration) Document() []byte { return c.document }

// MarshalJSON returns the summary of the configuration that the state dump shows.
func (c *Configuration) MarshalJSON() ([]byte, error) { return c.summary() }
