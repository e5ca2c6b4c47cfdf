package engine

import "time"

// decision is what a run does next.
type decision int

const (
	// keepWaiting means that waiting for a further reply is better than an answer now.
	keepWaiting decision = iota
	// answerNow means that the answer is made from the replies that have arrived.
	answerNow
	// refuseUnsent means that a successful answer was found impossible before
	// anything was sent.
	refuseUnsent
	// failNow means that a successful answer is no longer possible.
	failNow
)

// shardCounts counts the shards of a sharded request by the state of their reply.
type shardCounts struct {
	// required is the minimum number of shard replies in a successful answer.
	required int
	// total is the number of shard replies in a complete answer.
	total int
	// arrived is the number of successful replies, and pending is the number of replies
	// that may still arrive.
	arrived, pending int
}

// decide returns whether to wait for more shard replies or to end the request. The
// request waits for all shards until its latency objective has passed, and after that
// only for as many as a successful answer requires. At any moment some servers pause or
// are slow, so that a third of all sharded requests involves such a server. Up to the
// objective, an answer that lacks one shard is worth almost as much to the client as a
// complete answer. After the objective, any answer is worth only a tenth of that.
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
