// Package upstream sends calls to the servers of the pools.
//
// # Usage
//
// Transport is the small interface that the rest of the system uses; Client
// implements it over HTTP:
//
//	var transport upstream.Transport = upstream.NewClient(time.Second)
//	answer, err := transport.Do(ctx, u, call)
//
// Do returns an answer only if it is complete, belongs to this attempt, and names
// the requested snapshot and shard. A Refusal is the server's statement that it
// did not run the request. Every other error is a fault whose outcome says
// whether the request is proved not to have run. The outcome is NotRun for a
// refused connection, for example, and Unknown for a connection that broke.
package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/table"
)

// Reason says why a server refused to run a request.
type Reason int

// The reasons for a refusal. Each proves that the request did not run.
const (
	ReasonShed Reason = iota
	ReasonDraining
	ReasonSnapshotNotHeld
	ReasonExpired
	ReasonConnectionLimit
	ReasonStopping
)

//go:generate ../../.bin/enumer -type=Reason -trimprefix=Reason -transform=snake -text -output=reason_enumer.go

// Holding is one shard of one snapshot that a server holds. Shards is the total
// number of shards of that snapshot, which may differ between snapshots.
type Holding struct {
	Snapshot uint64 `json:"snapshot"`
	Shard    int    `json:"shard"`
	Shards   int    `json:"shards"`
}

// Call is one attempt to run a query on one server for one shard.
type Call struct {
	attempt  string
	key      string
	route    string
	snapshot uint64
	shard    int
	shards   int
	deadline time.Time
	payload  []byte
	// needsNewConnection is set if the call must not use a pooled connection.
	needsNewConnection bool
}

// NewCall returns a Call for one shard of a snapshot. The payload is the JSON
// document that the Caller sent.
func NewCall(attempt, route string, holding Holding, deadline time.Time, payload []byte) Call {
	return Call{
		attempt:  attempt,
		route:    route,
		snapshot: holding.Snapshot,
		shard:    holding.Shard,
		shards:   holding.Shards,
		deadline: deadline,
		payload:  payload,
	}
}

// WithKey returns a copy of the call that carries the key of a non-idempotent
// request. Such a call uses a new connection, because a pooled connection may
// have stopped delivering data, and the outcome of the call would then remain
// unknown.
func (c Call) WithKey(key string) Call {
	c.key = key
	c.needsNewConnection = true
	return c
}

// WithAttempt returns a copy of the call with another attempt ID.
func (c Call) WithAttempt(attempt string) Call {
	c.attempt = attempt
	return c
}

// WithShard returns a copy of the call for another shard of the snapshot.
func (c Call) WithShard(shard int) Call {
	c.shard = shard
	return c
}

// Attempt returns the ID of the attempt, which is unique among all attempts.
func (c Call) Attempt() string { return c.attempt }

// Key returns the key of a non-idempotent request, or "".
func (c Call) Key() string { return c.key }

// Route returns the name of the route.
func (c Call) Route() string { return c.route }

// Holding returns the requested snapshot and shard.
func (c Call) Holding() Holding { return Holding{c.snapshot, c.shard, c.shards} }

// Deadline returns the time after which a server must not start the call.
func (c Call) Deadline() time.Time { return c.deadline }

// Payload returns the JSON document that the Caller sent.
func (c Call) Payload() []byte { return c.payload }

// Answer is a server's complete and verified answer to one Call.
type Answer struct {
	holding  Holding
	results  []byte
	holdings []Holding
	instance string
	inFlight int
}

// NewAnswer returns an Answer without a reported server state.
func NewAnswer(holding Holding, results []byte) *Answer {
	return &Answer{holding: holding, results: results, inFlight: -1}
}

// WithState returns a copy of the answer with the state that the server reports,
// except whether the server is draining.
func (a *Answer) WithState(state State) *Answer {
	c := *a
	c.holdings = state.holdings
	c.instance = state.instance
	c.inFlight = state.inFlight
	return &c
}

// Holding returns the snapshot and shard that the answer covers.
func (a *Answer) Holding() Holding { return a.holding }

// Results returns the results as JSON.
func (a *Answer) Results() []byte { return a.results }

// State returns the state that the server reported with the answer, except
// whether the server is draining.
func (a *Answer) State() State {
	return State{holdings: a.holdings, instance: a.instance, inFlight: a.inFlight}
}

// State is what a server reports about itself. It is a hint that may be stale or
// wrong, and it can only lower the trust in the server.
type State struct {
	holdings []Holding
	instance string
	inFlight int
	draining bool
}

// NewState returns a State. inFlight is -1 if the number of requests in flight is
// unknown.
func NewState(holdings []Holding, instance string, inFlight int, draining bool) State {
	return State{holdings, instance, inFlight, draining}
}

// Holdings returns the shards that the server holds, or nil if it did not report
// them.
func (s State) Holdings() []Holding { return s.holdings }

// Instance returns the ID of the server's process, or "" if the server did not
// report it. The ID changes when the server restarts.
func (s State) Instance() string { return s.instance }

// InFlight returns the number of requests in flight at the server, or -1 if the
// server did not report it.
func (s State) InFlight() int { return s.inFlight }

// Draining reports whether the server asks not to receive new requests.
func (s State) Draining() bool { return s.draining }

// Refusal is a server's statement that it did not run a call.
type Refusal struct {
	server string
	reason Reason
	state  State
}

// NewRefusal returns a Refusal by the named server.
func NewRefusal(server string, reason Reason, state State) *Refusal {
	return &Refusal{server, reason, state}
}

// Reason returns why the server refused.
func (r *Refusal) Reason() Reason { return r.reason }

// State returns the state that the server reported with the refusal.
func (r *Refusal) State() State { return r.state }

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s refused the request: %s", r.server, r.reason)
}

// Unwrap returns the refusal as an UpstreamRefused fault with the outcome NotRun.
func (r *Refusal) Unwrap() error {
	return fault.New(fault.UpstreamRefused, fault.NotRun, "%s", r.reason)
}

// Transport sends calls to the servers of the pools.
type Transport interface {
	// Do runs one call on the server u. Cancelling ctx tells the server to stop.
	Do(ctx context.Context, u *table.Upstream, call Call) (*Answer, error)
	// State requests the present state of the server u.
	State(ctx context.Context, u *table.Upstream) (State, error)
}

// Digest returns the checksum of results, which a server sends along with them.
func Digest(results []byte) uint64 { return xxhash.Sum64(results) }
