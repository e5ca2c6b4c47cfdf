package engine

import "time"

// verdict is what a sharded request does next.
type verdict int

const (
	// keepWaiting means that a further part is worth more than an answer now.
	keepWaiting verdict = iota
	// answerNow means that the parts at hand are the best answer.
	answerNow
	// turnAway means that no successful answer was possible before anything was
	// sent.
	turnAway
	// giveUp means that no successful answer can come any more.
	giveUp
)

// tally is how far the parts of a sharded request are.
type tally struct {
	// need is the least number of parts of a successful answer.
	need int
	// total is the number of parts of a whole answer.
	total int
	// have and open are parts that arrived and may still arrive.
	have, open int
}

// judge decides whether to wait on. It answers this pattern: some servers pause
// or are slow at any moment, so that a third of all sharded requests meets one. An
// answer without one part is worth almost the whole until the objective passes,
// and a tenth afterwards. So it waits for all parts until then, and from then on
// for as many as a success needs.
func (t tally) judge(now, objective time.Time) verdict {
	switch {
	case t.open == 0 && t.have >= t.need:
		return answerNow
	case t.have+t.open < t.need:
		return giveUp
	case t.have >= t.need && !now.Before(objective):
		return answerNow
	default:
		return keepWaiting
	}
}
