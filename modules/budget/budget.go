// Package budget limits extra sends, such as hedges and retries, to a share of the
// regular requests.
//
// # Usage
//
// Every regular request deposits a fraction of a token. A hedge or a retry withdraws a
// whole token and must not be sent if there is none:
//
//	b := budget.New(0.02, 10)
//	b.Deposit()
//	if b.Withdraw() { sendHedge() }
//
// A Budget is safe for concurrent use and takes no lock.
package budget

import "sync/atomic"

// unitsPerToken is the number of internal units in one token.
const unitsPerToken = 1_000_000

// Budget is a token bucket that is refilled by regular requests instead of by time.
type Budget struct {
	units        atomic.Int64
	depositUnits int64
	maxUnits     atomic.Int64
}

// New returns a full Budget that gains share tokens for each regular request and holds
// at most burst tokens.
func New(share float64, burst int) *Budget {
	b := &Budget{depositUnits: int64(share * unitsPerToken)}
	b.maxUnits.Store(int64(burst) * unitsPerToken)
	b.units.Store(b.maxUnits.Load())
	return b
}

// SetBurst changes the maximum number of tokens, which need not be whole. Tokens beyond it
// are lost.
func (b *Budget) SetBurst(burst float64) {
	limit := int64(burst * unitsPerToken)
	b.maxUnits.Store(limit)
	for {
		v := b.units.Load()
		if v <= limit || b.units.CompareAndSwap(v, limit) {
			return
		}
	}
}

// Drain takes all tokens out.
func (b *Budget) Drain() { b.units.Store(0) }

// Deposit adds the share of a token that one regular request earns.
func (b *Budget) Deposit() {
	if b.units.Load() >= b.maxUnits.Load() {
		return
	}
	b.units.Add(b.depositUnits)
}

// Withdraw removes one token and reports true, or reports false if less than one token is
// left.
func (b *Budget) Withdraw() bool {
	for {
		v := b.units.Load()
		if v < unitsPerToken {
			return false
		}
		if b.units.CompareAndSwap(v, v-unitsPerToken) {
			return true
		}
	}
}

// Tokens returns the number of whole tokens left.
func (b *Budget) Tokens() int { return int(b.units.Load() / unitsPerToken) }
