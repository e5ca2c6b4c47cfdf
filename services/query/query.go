// Package query runs a Caller's query on all shards of one snapshot. A snapshot
// is one version of a pool's data, divided into shards. Each shard is held by one
// or more servers.
//
// # Usage
//
//	engine := query.NewEngine(query.Options{Host: "kingston-1", View: &view, Server: client, ...})
//	result, err := engine.Run(ctx, query.NewRequest("slot-finder", payload, deadline))
//
// Run pins one snapshot (uses it for the whole query), sends the query to one server of
// each shard, and merges the answers. The result contains data of the pinned snapshot
// only, and a shard counts as answered only if a valid answer for it was received. If
// the servers of a shard drop the snapshot during the query, the whole query restarts
// on another snapshot while time is left. Every error is a fault.Fault. Its outcome is
// NotRun only if the query is proved not to have run.
//
// A request on a route that is not idempotent needs a key. Run claims the key and then
// sends the request to one server of each shard. It sends the request to a shard again
// only after proof that the request did not run on that shard.
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

// fingerprint returns a hash of the route and the payload.
func (r Request) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.route)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.payload)
	return d.Sum64()
}

// ShardResult is the part of a Result that one shard returned.
type ShardResult struct {
	Shard int             `json:"shard"`
	Data  json.RawMessage `json:"data"`
}

// Result holds the merged answers of the shards of one snapshot.
type Result struct {
	pool     string
	snapshot uint64
	total    int
	missing  []int
	shards   []ShardResult
}

// Pool returns the name of the pool that answered.
func (r *Result) Pool() string { return r.pool }

// Snapshot returns the version of the snapshot from which the whole result comes.
func (r *Result) Snapshot() uint64 { return r.snapshot }

// Total returns the number of shards of the snapshot.
func (r *Result) Total() int { return r.total }

// Answered returns the number of shards in the result.
func (r *Result) Answered() int { return len(r.shards) }

// Missing returns the shards that are not in the result, in ascending order.
func (r *Result) Missing() []int { return r.missing }

// Shards returns the parts of the result in ascending order of their shards.
func (r *Result) Shards() []ShardResult { return r.shards }

type resultWire struct {
	Pool     string        `cbor:"1,keyasint"`
	Snapshot uint64        `cbor:"2,keyasint"`
	Total    int           `cbor:"3,keyasint"`
	Missing  []int         `cbor:"4,keyasint"`
	Shards   []ShardResult `cbor:"5,keyasint"`
}

// EncodeResult encodes a result for another host.
func EncodeResult(r *Result) ([]byte, error) {
	return cbor.Marshal(resultWire{r.pool, r.snapshot, r.total, r.missing, r.shards})
}

// DecodeResult decodes the output of EncodeResult.
func DecodeResult(body []byte) (*Result, error) {
	var w resultWire
	if err := cbor.Unmarshal(body, &w); err != nil {
		return nil, fault.Wrap(fault.CorruptReply, fault.Unknown, err, "the stored result cannot be decoded")
	}
	return &Result{w.Pool, w.Snapshot, w.Total, w.Missing, w.Shards}, nil
}

// Forwarder forwards a call to another host, which must belong to the subset of
// hosts that may send requests to the server.
type Forwarder interface {
	Forward(ctx context.Context, host, server string, call upstream.Call) (*upstream.Answer, error)
}

// Claimer ensures that the request with a key runs at most once.
type Claimer interface {
	// Claim returns a claim that only this request holds, or a claim with the
	// result of an earlier run of the same request. It returns a fault if the key
	// was used for another request, if the outcome of an earlier run is not
	// known, or if the state of the key cannot be determined.
	Claim(ctx context.Context, key string, fingerprint uint64) (Claim, error)
}

// Claim is the exclusive right to run the request with one key.
type Claim interface {
	// Complete stores the result for a Caller that sends the key again.
	Complete(result *Result)
	// Release frees the key after proof that the request did not run.
	Release(ctx context.Context)
	// MarkUnknown records that the outcome is unknown. The key is not released,
	// because the request may have run.
	MarkUnknown()
	// PreviousResult returns the stored result of an earlier run, or nil.
	PreviousResult() *Result
}

// PoolSelector selects the pool for each query. A move is the gradual shift of
// traffic from one pool to another; while it is in progress, either pool may be
// selected.
type PoolSelector interface {
	// SelectPool returns the pool for a query and a function to report how the query
	// ended.
	SelectPool(t *table.Tables, route *table.Route) (pool string, report func(Report))
	// SelectWarmupPool returns the pool whose servers a copy of the query should
	// warm up, and a function to report how the copy ended. The name of the pool
	// is "" if no copy should be sent.
	SelectWarmupPool(t *table.Tables, route *table.Route) (pool string, report func(Report))
}

// Report describes how one query ended on one pool. A move (a gradual shift of traffic
// from one pool to another) uses it to judge the pool.
type Report struct {
	Failed  bool
	Latency time.Duration
	// Attempts is the number of requests to servers. Errors is the number of
	// these requests that failed because of an error status or an invalid answer.
	// Refusals and broken connections do not count as errors, because they
	// indicate the load or a restart of a server.
	Attempts int
	Errors   int
}

// Options holds the dependencies and settings of an Engine.
type Options struct {
	Host         string
	Incarnation  string
	View         *blackboard.Section[*balance.View]
	Fleet        *balance.Fleet
	Server       upstream.Transport
	Forwarder    Forwarder
	Claimer      Claimer
	PoolSelector PoolSelector
	MaxInFlight  int
}

// routePoolSelector always selects the pool that the query's route names.
type routePoolSelector struct{}

// SelectPool implements PoolSelector.
func (routePoolSelector) SelectPool(_ *table.Tables, route *table.Route) (string, func(Report)) {
	return route.Pool(), func(Report) {}
}

// SelectWarmupPool implements PoolSelector.
func (routePoolSelector) SelectWarmupPool(*table.Tables, *table.Route) (string, func(Report)) {
	return "", nil
}

// noClaimer refuses every key. Engines without a Claimer, for example without a
// store, use it.
type noClaimer struct{}

// Claim implements Claimer.
func (noClaimer) Claim(context.Context, string, uint64) (Claim, error) {
	return nil, fault.New(fault.StoreUnavailable, fault.Unknown, "keys cannot be claimed on this host")
}
