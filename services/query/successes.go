package query

import (
	"sync/atomic"
	"time"
)

const (
	successTableSize = 1 << 14
	// slotTickBits is the number of low bits of a slot that hold the time of the
	// success, in units of tickDuration.
	slotTickBits = 28
	slotTickMask = 1<<slotTickBits - 1
	// tickDuration is the resolution at which the time of a success is recorded.
	tickDuration = 10 * time.Millisecond
)

// successTable holds the time of the last success of each request, by
// fingerprint, in a fixed number of slots. The success of a request overwrites
// that of any other request in the same slot. The zero value is empty. The
// methods take no lock.
type successTable struct {
	slots [successTableSize]atomic.Uint64
}

func tickOf(t time.Time) uint64 { return uint64(t.UnixNano()/int64(tickDuration)) & slotTickMask }

func (s *successTable) record(fingerprint uint64) {
	s.slots[fingerprint%successTableSize].Store(fingerprint&^slotTickMask | tickOf(time.Now()))
}

// hasSucceededSince reports whether the last recorded success of a request is later
// than the time since, which must lie within the last few minutes.
func (s *successTable) hasSucceededSince(fingerprint uint64, since time.Time) bool {
	v := s.slots[fingerprint%successTableSize].Load()
	if v == 0 || v&^slotTickMask != fingerprint&^slotTickMask {
		return false
	}
	// Ticks wrap around. A difference of more than half their range therefore means
	// that the success was before since.
	return (v-tickOf(since))&slotTickMask < slotTickMask/2 && v&slotTickMask != tickOf(since)
}
