// Package engine answers client requests. It sends each request to one server of every
// service that the route needs and merges the replies. If a request is refused or fails,
// it states correctly whether the request may have run.
//
//	e := engine.New(fleet, sender)
//	answer := e.Run(ctx, &engine.Request{Route: route, ...})
//	if answer.Fault != nil { ... }
//
// A forwarded request goes to one service, whose reply is returned unchanged. A sharded
// request goes to all shards of the route, and its answer consists of the greatest
// records of all shard replies. The requests to the servers are sent in the same way for
// both; only the collector of the replies differs. Adapters translate requests and
// replies, so the engine knows no header names or paths.
package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/catalog"
	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/internal/serving/quarantine"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// Request is one attempt of a client to get an answer. Each retry of the client is a new
// Request.
type Request struct {
	ID string
	// Fingerprint is the same for all requests that ask the same on behalf of the same
	// caller.
	Fingerprint quarantine.Fingerprint
	Route       *catalog.Route
	Method      string
	// Head is the part of the encoded request head that is the same for all servers. The
	// adapter encodes it in the form that its Sender expects.
	Head    []byte
	Body    []byte
	HasBody bool
	// Arrived is the time at which the request was read.
	Arrived time.Time
	// Deadline is the time at which the client stops waiting or the route's timeout ends,
	// whichever is earlier.
	Deadline time.Time
	// Objective is the time at which the latency objective ends. A later answer is worth
	// less to the client.
	Objective time.Time
	// IsRetry means that the client retries after an earlier attempt.
	IsRetry bool
}

// rank returns the rank by which the request is ordered among those that wait for a
// server.
func (r *Request) rank() fleet.Rank {
	return fleet.Rank{Priority: r.Route.Priority, IsRetry: r.IsRetry, Objective: r.Objective}
}

// Reply is the result of sending a request to one server.
type Reply struct {
	Outcome   fleet.Outcome
	Status    int
	Header    http.Header
	Body      []byte
	Signature string
	// IsWithheld means that the client must not get the answer, because it would tell the
	// client that a request that may have run has not.
	IsWithheld bool
	// Notice is what the server stated about the requests that it wants.
	Notice fleet.Notice
	// Err is the reason why the server gave no answer.
	Err error
	// HasEnded means that the connection broke and that the server then refused a new one:
	// its process has ended. A server whose machine is lost does neither; see silenceMonitor.
	HasEnded bool
}

// mayHaveRun reports whether the server may have run the request.
func (r *Reply) mayHaveRun() bool {
	switch r.Outcome {
	case fleet.Refused, fleet.Misdirected, fleet.Unreachable:
		return false
	default:
		return true
	}
}

// statusError is the status of an answer that is not a success.
type statusError int

// Error implements error.
func (e statusError) Error() string { return "the server answered with status " + strconv.Itoa(int(e)) }

// rejectFailedPart makes the answer of a shard's server a failure unless its status is a
// success. Only a success is a part.
func (r *Reply) rejectFailedPart() {
	if r.Outcome == fleet.Answered && r.Status/100 != http.StatusOK/100 {
		r.Outcome, r.Err = fleet.Failed, statusError(r.Status)
	}
}

// mayHaveEnded reports whether the server closed the connection, which it also does when
// its process ends.
func (r *Reply) mayHaveEnded() bool {
	if r.Outcome != fleet.Broken && r.Outcome != fleet.ConnectionRejected {
		return false
	}
	return errors.Is(r.Err, io.EOF) || errors.Is(r.Err, io.ErrUnexpectedEOF) || errors.Is(r.Err, syscall.ECONNRESET) || errors.Is(r.Err, syscall.EPIPE)
}

// IsAnswer reports whether the reply is a complete answer of the server.
func (r *Reply) IsAnswer() bool { return r.Outcome == fleet.Answered || r.Outcome == fleet.Failed }

// Sender sends a request to one server and returns its reply. It must return when
// ctx ends and must not retry by itself.
type Sender interface {
	Send(ctx context.Context, s *fleet.Server, req *Request) *Reply
	// HasEnded reports whether the process of a server has ended whose connection broke
	// during a send. It takes no longer than a new connection.
	HasEnded(ctx context.Context, s *fleet.Server) bool
}

// Answer is the result of a Request, from which the adapter writes the response.
type Answer struct {
	// Reply is the server's answer to a forwarded request.
	Reply *Reply
	// Body holds the merged records of the answer to a sharded request, Signatures the
	// signatures of the shard replies in it, and Missing the number of shards whose reply
	// is not in it.
	Body       []byte
	Signatures []string
	Missing    int
	// Lost has an entry of the form "outcome/denial" for each shard whose reply is not
	// in the answer. The outcome is that of the shard's last send, or "out" if the
	// shard's subrequest has not ended. The denial is the reason why no extra send
	// followed.
	Lost []string
	// Fault is the reason for a refusal or failure; nil if the request was answered.
	Fault *fault.Fault
	// RetryAfter is the time after which a refused client should retry; 0 means that
	// there is no advice.
	RetryAfter time.Duration
	// Sends are the sends to servers in the order in which they were made.
	Sends []SendRecord
	// IsLate means that the answer was ready only after the latency objective of the
	// request.
	IsLate bool
}

// Engine answers requests. It is safe for concurrent use.
type Engine struct {
	fleet    *fleet.Fleet
	sender   Sender
	splitter catalog.Splitter
	counters Counters
	// quarantine holds the requests that end the servers that run them.
	quarantine quarantine.Table
	// stopping is closed by stop.
	stopping chan struct{}
	stop     func()
}

// New returns an Engine that chooses servers from f and sends through sender.
func New(f *fleet.Fleet, sender Sender) *Engine {
	stopping := make(chan struct{})
	return &Engine{fleet: f, sender: sender, stopping: stopping, stop: sync.OnceFunc(func() { close(stopping) })}
}

// Stop answers all requests in progress at once, with the replies that have arrived, and
// refuses all later ones.
func (e *Engine) Stop() { e.stop() }

func (e *Engine) isStopping() bool {
	select {
	case <-e.stopping:
		return true
	default:
		return false
	}
}

// Quarantine returns the requests that this host holds back.
func (e *Engine) Quarantine() *quarantine.Table { return &e.quarantine }

// Counters returns the counters of the engine.
func (e *Engine) Counters() *Counters { return &e.counters }

// Run answers one request. It returns at the request's deadline at the latest. It returns
// earlier if ctx ends, which means that the client has disconnected.
func (e *Engine) Run(ctx context.Context, req *Request) *Answer {
	e.counters.InFlight.Add(1)
	defer e.counters.InFlight.Add(-1)
	answer := e.answer(ctx, req)
	answer.IsLate = time.Now().After(req.Objective)
	e.countResult(ctx, answer)
	return answer
}

func (e *Engine) answer(ctx context.Context, req *Request) *Answer {
	holdTime := e.quarantine.HoldTime(req.Fingerprint)
	switch {
	case e.isStopping():
		return refusalAnswer(fault.NotReady, minRetryAfter, "this host stops")
	case !time.Now().Before(req.Deadline):
		return refusalAnswer(fault.DeadlineExceeded, 0, "the deadline had passed on arrival")
	case holdTime > 0:
		e.counters.Held.Add(1)
		return refusalAnswer(fault.RequestQuarantined, holdTime, "requests with this fingerprint end the servers that run them")
	case req.Route.IsSharded():
		return e.gather(ctx, req)
	default:
		return e.forward(ctx, req)
	}
}

// countResult adds the answer to the counter of its result.
func (e *Engine) countResult(ctx context.Context, a *Answer) {
	c := &e.counters
	switch {
	case ctx.Err() != nil:
		c.ClientLeft.Add(1)
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

// refusalAnswer returns the answer to a request that certainly did not run.
func refusalAnswer(kind fault.Kind, retryAfter time.Duration, format string, args ...any) *Answer {
	return &Answer{Fault: fault.New(kind, fault.NotRun, format, args...), RetryAfter: retryAfter}
}
