// Package recency remembers when each of many keys was last recorded, in a fixed amount of
// memory.
//
// # Usage
//
//	var t recency.Table
//	t.Record(key)
//	if t.HasSince(key, crashedAt) { ... }
//
// A key overwrites any other key in the same slot, so a Table may have forgotten a key. Keys
// must be hashes. If others choose what is hashed, the hash must be one whose values they
// can't predict.
package recency

import (
	"sync/atomic"
	"time"
)

const (
	slotCount = 1 << 14
	// tickBits is the number of low bits of a slot that hold the time, in units of
	// tickDuration.
	tickBits = 28
	tickMask = 1<<tickBits - 1
	// tickDuration is the resolution at which times are recorded.
	tickDuration = 10 * time.Millisecond
)

// epoch is the time from which ticks count. Times of day may jump, so that only the time
// since another time is used.
var epoch = time.Now()

// Table holds the time of the last record of each key, in a fixed number of slots. The zero
// value is empty. The methods take no lock.
type Table struct {
	slots [slotCount]atomic.Uint64
}

// tickOf returns the tick of t.
func tickOf(t time.Time) uint64 { return uint64(t.Sub(epoch)/tickDuration) & tickMask }

// Record records that key occurs now.
func (t *Table) Record(key uint64) {
	t.slots[key%slotCount].Store(key&^tickMask | tickOf(time.Now()))
}

// HasSince reports whether the last record of key is later than the time since, which must
// lie within the last few days.
func (t *Table) HasSince(key uint64, since time.Time) bool {
	v := t.slots[key%slotCount].Load()
	if v == 0 || v&^tickMask != key&^tickMask {
		return false
	}
	// Ticks wrap around. A difference of more than half their range therefore means
	// that the record is older than since.
	return (v-tickOf(since))&tickMask < tickMask/2 && v&tickMask != tickOf(since)
}
