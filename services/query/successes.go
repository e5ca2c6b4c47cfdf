package query

import (
	"sync/atomic"
	"time"
)

const (
	successSlots = 1 << 14
	// tickBits are the bits of a slot that hold the time in ticks.
	tickBits = 28
	tickMask = 1<<tickBits - 1
	// successTick is the resolution of the time of a success.
	successTick = 10 * time.Millisecond
)

// successTable remembers when requests last succeeded, by fingerprint, in a
// fixed number of slots; a newer request overwrites an older one of its slot.
// The zero value is empty. It takes no lock.
type successTable struct {
	slots [successSlots]atomic.Uint64
}

func tickOf(t time.Time) uint64 { return uint64(t.UnixNano()/int64(successTick)) & tickMask }

func (s *successTable) record(fingerprint uint64) {
	s.slots[fingerprint%successSlots].Store(fingerprint&^tickMask | tickOf(time.Now()))
}

// isSince reports whether a request succeeded after a time of the last minutes.
func (s *successTable) isSince(fingerprint uint64, since time.Time) bool {
	v := s.slots[fingerprint%successSlots].Load()
	if v == 0 || v&^tickMask != fingerprint&^tickMask {
		return false
	}
	// Ticks wrap around; a difference of more than half the range is negative.
	return (v-tickOf(since))&tickMask < tickMask/2 && v&tickMask != tickOf(since)
}
