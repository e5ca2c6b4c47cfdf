package engine

import (
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
)

// Counters count requests and sends since the engine was created.
type Counters struct {
	// Whole counts the complete answers that were ready by the latency objective of
	// their request. Partial counts the answers that were ready by then and lack
	// shards. Late counts the answers that were ready only after the objective.
	Whole, Partial, Late atomic.Int64
	// Refused counts the unanswered requests that certainly did not run. Failed counts
	// the unanswered requests that may have run. ClientLeft counts the requests whose
	// client disconnected.
	Refused, Failed, ClientLeft atomic.Int64
	// Sends counts sends to servers by outcome.
	Sends [fleet.OutcomeCount]atomic.Int64
	// ExtraSends counts the sends to a service beyond the first send of each subrequest.
	// Denied counts the extra sends that were not made, by reason.
	ExtraSends atomic.Int64
	Denied     [denialCount]atomic.Int64
	// UnpaidSends counts the extra sends that were made without the budget, by the outcome
	// of the send before.
	UnpaidSends [fleet.OutcomeCount]atomic.Int64
	// Held counts the refused requests that are held back because they end servers.
	Held atomic.Int64
	// EndedServers counts the sends during which the process of the server ended.
	EndedServers atomic.Int64
	// SilentServers counts the sends during which the server went silent.
	SilentServers atomic.Int64
	// InFlight is the number of requests in progress.
	InFlight atomic.Int64
}

// SendRecord records one send to a server on behalf of a client request.
type SendRecord struct {
	Server  *fleet.Server
	Outcome fleet.Outcome
	// SentAfter is the time from the start of the run to the send. Took is the time from
	// the send to its reply, or zero while the reply is pending.
	SentAfter, Took time.Duration
	// Err is the reason why the send brought no answer.
	Err error
	// HasEnded means that the process of the server ended during the send.
	HasEnded bool
}

// IsPending reports whether the reply was still pending when the client was answered.
func (s SendRecord) IsPending() bool { return s.Took == 0 }
