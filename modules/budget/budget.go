// Package budget limits extra work to a share of the regular work.
//
// # Usage
//
// Every regular request deposits a fraction of a token; a backup request or a
// retry withdraws a whole one and must not run if that fails:
//
//	b := budget.New(0.02, 10)
//	b.Deposit()
//	if b.Withdraw() { sendBackup() }
//
// A Budget is safe for concurrent use and takes no lock.
package budget

import "sync/atomic"

// tokenUnit is the number of internal units in one token.
const tokenUnit = 1_000_000

// Budget is a token account filled by regular work.
type Budget struct {
	units atomic.Int64
	share int64
	cap   int64
}

// New returns a Budget that earns share tokens a request and keeps at most
// burst tokens. It starts full.
func New(share float64, burst int) *Budget {
	b := &Budget{share: int64(share * tokenUnit), cap: int64(burst) * tokenUnit}
	b.units.Store(b.cap)
	return b
}

// Deposit adds the share of one regular request.
func (b *Budget) Deposit() {
	if b.units.Load() >= b.cap {
		return
	}
	b.units.Add(b.share)
}

// Withdraw takes one token and reports whether there was one.
func (b *Budget) Withdraw() bool {
	for {
		v := b.units.Load()
		if v < tokenUnit {
			return false
		}
		if b.units.CompareAndSwap(v, v-tokenUnit) {
			return true
		}
	}
}

// Tokens returns the number of whole tokens left.
func (b *Budget) Tokens() int { return int(b.units.Load() / tokenUnit) }
