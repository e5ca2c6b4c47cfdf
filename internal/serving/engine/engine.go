// Package engine answers requests: it sends each to one server of every service
// that its route needs, joins the replies, and says truly whether a refused
// request has run.
//
// # Usage
//
//	e := engine.New(fleet, sender)
//	answer := e.Run(ctx, &engine.Request{Route: route, ...})
//	if answer.Fault != nil { ... }
//
// Two joining policies share one way of asking a service: a forwarded request
// takes the reply of its one service unchanged, a sharded one joins the greatest
// records of the parts. Adapters translate requests and replies; the engine knows
// no names of the wire.
package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/catalog"
	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// Request is one client attempt.
type Request struct {
	ID     string
	Route  *catalog.Route
	Method string
	// Head is what the Sender has prepared of the request for all servers.
	Head    []byte
	Body    []byte
	HasBody bool
	// Arrived is when the request was read.
	Arrived time.Time
	// Deadline is when the client or the route stops waiting.
	Deadline time.Time
	// Objective is when an answer must leave to be worth its full value.
	Objective time.Time
	// IsReturned means that the client was refused before.
	IsReturned bool
}

// rank returns how the request is ordered among those that wait.
func (r *Request) rank() fleet.Rank {
	return fleet.Rank{Priority: r.Route.Priority, IsRetry: r.IsReturned, Objective: r.Objective}
}

// Reply is what came of one request at one server.
type Reply struct {
	Outcome   fleet.Outcome
	Status    int
	Header    http.Header
	Body      []byte
	Signature string
	// Err is the reason of an outcome without an answer.
	Err error
}

// mayHaveRun reports whether a server may have run the request.
func (r *Reply) mayHaveRun() bool {
	switch r.Outcome {
	case fleet.Refused, fleet.Misdirected, fleet.Unreachable:
		return false
	default:
		return true
	}
}

// isAnswer reports whether the reply is a whole answer of the server.
func (r *Reply) isAnswer() bool { return r.Outcome == fleet.Answered || r.Outcome == fleet.Failed }

// Sender sends a request to one server and returns its reply. It ends when ctx
// does and must not send again by itself.
type Sender interface {
	Send(ctx context.Context, s *fleet.Server, req *Request) *Reply
}

// Answer is what a client gets.
type Answer struct {
	// Reply is the server's answer to a forwarded request.
	Reply *Reply
	// Body, Signatures and Missing are the joined answer to a sharded request.
	Body       []byte
	Signatures []string
	Missing    int
	// Lost says of each part that did not come in time why; parts that were still
	// out are not in it.
	Lost []string
	// Fault is the reason of a refusal or failure.
	Fault *fault.Fault
	// RetryAfter is when a refused client should come back; 0 says nothing.
	RetryAfter time.Duration
	// Steps are the requests that went to servers, in order.
	Steps []Step
	// IsLate means that the answer left after the objective.
	IsLate bool
}

// Engine answers requests. It is safe for concurrent use.
type Engine struct {
	fleet    *fleet.Fleet
	sender   Sender
	splitter catalog.Splitter
	counters Counters
}

// New returns an Engine.
func New(f *fleet.Fleet, sender Sender) *Engine {
	return &Engine{fleet: f, sender: sender}
}

// Counters returns the counters of the engine.
func (e *Engine) Counters() *Counters { return &e.counters }

// Run answers one request. It ends at the request's deadline, and earlier when
// ctx does, which means that the client has gone.
func (e *Engine) Run(ctx context.Context, req *Request) *Answer {
	e.counters.InFlight.Add(1)
	defer e.counters.InFlight.Add(-1)
	answer := e.answer(ctx, req)
	answer.IsLate = time.Now().After(req.Objective)
	e.count(ctx, answer)
	return answer
}

func (e *Engine) answer(ctx context.Context, req *Request) *Answer {
	switch {
	case !time.Now().Before(req.Deadline):
		return refused(fault.DeadlineExceeded, 0, "the deadline had passed on arrival")
	case req.Route.IsSharded():
		return e.gather(ctx, req)
	default:
		return e.forward(ctx, req)
	}
}

func (e *Engine) count(ctx context.Context, a *Answer) {
	c := &e.counters
	switch {
	case ctx.Err() != nil:
		c.Left.Add(1)
	case a.Fault != nil && a.Fault.Outcome() == fault.NotRun:
		c.Refused.Add(1)
	case a.Fault != nil:
		c.Failed.Add(1)
	case a.IsLate:
		c.Late.Add(1)
	case a.Missing > 0:
		c.Partial.Add(1)
	default:
		c.Whole.Add(1)
	}
}

// refused is the answer to a request that is proved not to have run.
func refused(kind fault.Kind, retryAfter time.Duration, format string, args ...any) *Answer {
	return &Answer{Fault: fault.New(kind, fault.NotRun, format, args...), RetryAfter: retryAfter}
}
