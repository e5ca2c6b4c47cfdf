// Package upstream speaks to the servers of the pools.
//
// # Usage
//
// Server is the small interface that the rest of the system uses; Client
// implements it over HTTP:
//
//	var server upstream.Server = upstream.NewClient(time.Second)
//	answer, err := server.Do(ctx, u, call)
//
// Do returns an answer only if it belongs to this very attempt, names the
// snapshot and shard that were asked for, and is whole. A Refusal is the
// server's own word that the request did not run. Every other error is a
// fault whose outcome says what is proved: a refused connection is NotRun, a
// broken one is Unknown.
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

// The reasons of a refusal. Each proves that the request did not run.
const (
	ReasonShed Reason = iota
	ReasonDraining
	ReasonSnapshotNotHeld
	ReasonExpired
	ReasonConnectionLimit
	ReasonStopping
)

//go:generate ../../.bin/enumer -type=Reason -trimprefix=Reason -transform=snake -text -output=reason_enumer.go

// Holding is one shard of one snapshot that a server holds. The partitioning
// belongs to the snapshot: another snapshot may have another number of shards.
type Holding struct {
	Snapshot uint64 `json:"snapshot"`
	Shard    int    `json:"shard"`
	Shards   int    `json:"shards"`
}

// Call is one attempt to run one shard of a query on one server.
type Call struct {
	attempt  string
	key      string
	route    string
	snapshot uint64
	shard    int
	shards   int
	deadline time.Time
	payload  []byte
	fresh    bool
}

// NewCall returns a Call for one shard of a snapshot. The payload is the
// Caller's JSON.
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
// request. Such a call goes over a connection of its own, because one that has
// gone silent would leave its outcome unknown.
func (c Call) WithKey(key string) Call {
	c.key = key
	c.fresh = true
	return c
}

// WithAttempt returns a copy of the call under another attempt identity.
func (c Call) WithAttempt(attempt string) Call {
	c.attempt = attempt
	return c
}

// WithShard returns a copy of the call for another shard of the snapshot.
func (c Call) WithShard(shard int) Call {
	c.shard = shard
	return c
}

// Attempt returns the identity of the attempt, unique among all attempts.
func (c Call) Attempt() string { return c.attempt }

// Key returns the key of a non-idempotent request, or "".
func (c Call) Key() string { return c.key }

// Route returns the name of the route.
func (c Call) Route() string { return c.route }

// Holding returns the snapshot and shard that are asked for.
func (c Call) Holding() Holding { return Holding{c.snapshot, c.shard, c.shards} }

// Deadline returns the absolute time after which a server must not start.
func (c Call) Deadline() time.Time { return c.deadline }

// Payload returns the Caller's JSON.
func (c Call) Payload() []byte { return c.payload }

// Answer is a server's whole and verified answer to one Call.
type Answer struct {
	holding  Holding
	results  []byte
	holdings []Holding
	instance string
	inFlight int
}

// NewAnswer returns an Answer.
func NewAnswer(holding Holding, results []byte) *Answer {
	return &Answer{holding: holding, results: results, inFlight: -1}
}

// WithState returns a copy that carries what the server says of itself.
func (a *Answer) WithState(state State) *Answer {
	c := *a
	c.holdings = state.holdings
	c.instance = state.instance
	c.inFlight = state.inFlight
	return &c
}

// Holding returns the snapshot and shard that the answer covers.
func (a *Answer) Holding() Holding { return a.holding }

// Results returns the JSON of the results.
func (a *Answer) Results() []byte { return a.results }

// State returns what the server says of itself.
func (a *Answer) State() State {
	return State{holdings: a.holdings, instance: a.instance, inFlight: a.inFlight}
}

// State is what a server says of itself. It is a hint: it may lag or mislead,
// and can only lower trust.
type State struct {
	holdings []Holding
	instance string
	inFlight int
	draining bool
}

// NewState returns a State. An unknown number of requests in flight is -1.
func NewState(holdings []Holding, instance string, inFlight int, draining bool) State {
	return State{holdings, instance, inFlight, draining}
}

// Holdings returns the shards that the server holds; nil means not said.
func (s State) Holdings() []Holding { return s.holdings }

// Instance returns the identity of the server's process, which changes when it
// restarts, or "".
func (s State) Instance() string { return s.instance }

// InFlight returns how many requests the server runs, or -1.
func (s State) InFlight() int { return s.inFlight }

// Draining reports whether the server asks for no new work.
func (s State) Draining() bool { return s.draining }

// Refusal is a server's own word that a request did not run.
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

// State returns what the server said of itself.
func (r *Refusal) State() State { return r.state }

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s refused the request: %s", r.server, r.reason)
}

// Unwrap returns the refusal as a fault of outcome NotRun.
func (r *Refusal) Unwrap() error {
	return fault.New(fault.UpstreamRefused, fault.NotRun, "%s", r.reason)
}

// Server runs calls on servers.
type Server interface {
	// Do runs one call. Cancelling ctx tells the server to stop.
	Do(ctx context.Context, u *table.Upstream, call Call) (*Answer, error)
	// State asks a server for its state.
	State(ctx context.Context, u *table.Upstream) (State, error)
}

// Digest returns the checksum that a server states of its results.
func Digest(results []byte) uint64 { return xxhash.Sum64(results) }
