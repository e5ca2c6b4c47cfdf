package engine

import "time"

// decision is what a run does next.
type decision int

const (
	// keepWaiting means that a further reply is worth more than an answer now.
	keepWaiting decision = iota
	// answerNow means that the replies at hand are the best answer.
	answerNow
	// refuseUnsent means that a successful answer was found impossible before
	// anything was sent.
	refuseUnsent
	// failNow means that a successful answer is no longer possible.
	failNow
)

// shardCounts counts the shards of a sharded request by the state of their reply.
type shardCounts struct {
	// required is the least number of shard replies in a successful answer.
	required int
	// total is the number of shard replies in a complete answer.
	total int
	// arrived counts the successful replies, pending those that may still arrive.
	arrived, pending int
}

// decide returns whether to wait for more shard replies. It handles the case where
// some servers pause or are slow at any moment, so that a third of all sharded
// requests meets one. Until the objective passes, an answer without one shard has
// almost its full value, and afterwards a tenth of it. The request therefore waits
// for all shards until the objective, and from then on only for as many as a success
// requires.
func (c shardCounts) decide(now, objective time.Time) decision {
	switch {
	case c.pending == 0 && c.arrived >= c.required:
		return answerNow
	case c.arrived+c.pending < c.required:
		return failNow
	case c.arrived >= c.required && !now.Before(objective):
		return answerNow
	default:
		return keepWaiting
	}
}
