package balance

import (
	"time"

	"github.com/godwithatch/godwithatch/services/upstream"
)

// FullLevel is the level of a server that has no limit across hosts.
const FullLevel = 1 << 20

// Knowledge is the record of one server that hosts exchange. Of two records, the one
// with the higher epoch is newer; within an epoch, the one with the higher sequence.
type Knowledge struct {
	Server   string             `cbor:"1,keyasint"`
	Epoch    uint64             `cbor:"2,keyasint"`
	Sequence uint64             `cbor:"3,keyasint"`
	Level    int                `cbor:"4,keyasint"`
	Instance string             `cbor:"5,keyasint,omitempty"`
	Holdings []upstream.Holding `cbor:"6,keyasint,omitempty"`
	Draining bool               `cbor:"7,keyasint,omitempty"`
}

// SuccessReport reports the successes of a host at a server to the first host of the
// server's subset, which alone raises the level.
type SuccessReport struct {
	Server    string `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Successes int    `cbor:"3,keyasint"`
	// TotalLatency is the sum of the latencies of the successes.
	TotalLatency time.Duration `cbor:"4,keyasint"`
}

// newer reports whether k replaces old. Of two records with equal epoch and sequence
// the one with the lower level wins, which is the safe side, so that all hosts settle
// on the same record.
func (k Knowledge) newer(old Knowledge) bool {
	if k.Epoch != old.Epoch {
		return k.Epoch > old.Epoch
	}
	if k.Sequence != old.Sequence {
		return k.Sequence > old.Sequence
	}
	return k.Level < old.Level
}
