// Package query runs a Caller's query on all shards of one snapshot.
//
// # Usage
//
//	engine := query.NewEngine(query.Options{Host: "kingston-1", View: &view, Server: client, ...})
//	result, err := engine.Run(ctx, query.NewRequest("slot-finder", payload, deadline))
//
// Run pins one snapshot, asks one server of each shard, and joins the replies.
// Its result covers that snapshot alone; the coverage is counted from accepted
// replies. If the snapshot leaves under the query, the whole query restarts on
// another one while time is left. Every error is a fault.Fault; its outcome is
// NotRun only with a proof.
//
// A request with a key is not idempotent: it is claimed first, sent to one
// server of each shard, and sent again only after a proof that it did not run.
package query

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/godwithatch/godwithatch/modules/blackboard"
	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// Request is one query of a Caller.
type Request struct {
	route    string
	key      string
	payload  []byte
	deadline time.Time
}

// NewRequest returns a Request. The payload is the Caller's JSON.
func NewRequest(route string, payload []byte, deadline time.Time) Request {
	return Request{route: route, payload: payload, deadline: deadline}
}

// WithKey returns a copy of the request with the Caller's idempotency key.
func (r Request) WithKey(key string) Request {
	r.key = key
	return r
}

// fingerprint identifies requests with the same route and payload.
func (r Request) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.route)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.payload)
	return d.Sum64()
}

// ShardResult is the part of an answer that one shard gave.
type ShardResult struct {
	Shard int             `json:"shard"`
	Data  json.RawMessage `json:"data"`
}

// Result is an answer from one snapshot.
type Result struct {
	pool     string
	snapshot uint64
	total    int
	missing  []int
	shards   []ShardResult
}

// Pool returns the pool that answered.
func (r *Result) Pool() string { return r.pool }

// Snapshot returns the version that every part of the answer comes from.
func (r *Result) Snapshot() uint64 { return r.snapshot }

// Total returns the number of shards of the snapshot.
func (r *Result) Total() int { return r.total }

// Answered returns the number of shards in the answer.
func (r *Result) Answered() int { return len(r.shards) }

// Missing returns the shards that are not in the answer, in order.
func (r *Result) Missing() []int { return r.missing }

// Shards returns the parts of the answer in the order of their shards.
func (r *Result) Shards() []ShardResult { return r.shards }

type resultWire struct {
	Pool     string        `cbor:"1,keyasint"`
	Snapshot uint64        `cbor:"2,keyasint"`
	Total    int           `cbor:"3,keyasint"`
	Missing  []int         `cbor:"4,keyasint"`
	Shards   []ShardResult `cbor:"5,keyasint"`
}

// EncodeResult returns a result as hosts pass it to each other.
func EncodeResult(r *Result) ([]byte, error) {
	return cbor.Marshal(resultWire{r.pool, r.snapshot, r.total, r.missing, r.shards})
}

// DecodeResult reads what EncodeResult wrote.
func DecodeResult(body []byte) (*Result, error) {
	var w resultWire
	if err := cbor.Unmarshal(body, &w); err != nil {
		return nil, fault.Wrap(fault.CorruptReply, fault.Unknown, err, "the kept answer cannot be read")
	}
	return &Result{w.Pool, w.Snapshot, w.Total, w.Missing, w.Shards}, nil
}

// Forwarder passes a call to another host of a server's subset.
type Forwarder interface {
	Forward(ctx context.Context, host, server string, call upstream.Call) (*upstream.Answer, error)
}

// Claimer makes sure that a key runs at most once.
type Claimer interface {
	// Claim returns a claim that is held by this request alone, or a fault: the
	// key is in use, has run, or its state cannot be known.
	Claim(ctx context.Context, key string, fingerprint uint64) (Claim, error)
}

// Claim is the right to run one key.
type Claim interface {
	// Done keeps the answer for a Caller that sends the key again.
	Done(result *Result)
	// NotRun gives the key free after a proof that it did not run.
	NotRun(ctx context.Context)
	// Unknown leaves the key claimed for good.
	Unknown()
	// Earlier returns the kept answer of an earlier run, or nil.
	Earlier() *Result
}

// Director picks the pool for one query while a move is under way.
type Director interface {
	// Direct returns the pool for a query and a function to report its end.
	Direct(t *table.Tables, route *table.Route) (pool string, report func(Report))
	// Copy returns the pool that a copy of the query should warm, or "", and a
	// function to report the end of the copy.
	Copy(t *table.Tables, route *table.Route) (pool string, report func(Report))
}

// Report is the end of one query on one pool, as evidence for a move.
type Report struct {
	Failed  bool
	Latency time.Duration
	// Attempts counts the requests to servers, Errors those that a server
	// answered wrongly or not at all. Refusals and broken connections are not
	// among the errors: they tell of a server's load or restart.
	Attempts int
	Errors   int
}

// Options are the parts that an Engine works with.
type Options struct {
	Host        string
	Incarnation string
	View        *blackboard.Section[*balance.View]
	Fleet       *balance.Fleet
	Server      upstream.Server
	Forwarder   Forwarder
	Claimer     Claimer
	Director    Director
	MaxInFlight int
}

// fixedDirector sends every query to the pool of its route.
type fixedDirector struct{}

// Direct implements Director.
func (fixedDirector) Direct(_ *table.Tables, route *table.Route) (string, func(Report)) {
	return route.Pool(), func(Report) {}
}

// Copy implements Director.
func (fixedDirector) Copy(*table.Tables, *table.Route) (string, func(Report)) { return "", nil }

// noClaimer refuses every key, for engines without a store.
type noClaimer struct{}

// Claim implements Claimer.
func (noClaimer) Claim(context.Context, string, uint64) (Claim, error) {
	return nil, fault.New(fault.StoreUnavailable, fault.Unknown, "keys cannot be claimed on this host")
}
