package balance

import (
	"time"

	"github.com/godwithatch/godwithatch/services/upstream"
)

// FullLevel is the level of a server without a limit on all hosts together.
const FullLevel = 1 << 20

// Knowledge is what hosts tell each other of one server. Of two records, the
// one of the higher epoch is the newer; within an epoch, that of the higher
// sequence.
type Knowledge struct {
	Server   string             `cbor:"1,keyasint"`
	Epoch    uint64             `cbor:"2,keyasint"`
	Sequence uint64             `cbor:"3,keyasint"`
	Level    int                `cbor:"4,keyasint"`
	Instance string             `cbor:"5,keyasint,omitempty"`
	Holdings []upstream.Holding `cbor:"6,keyasint,omitempty"`
	Draining bool               `cbor:"7,keyasint,omitempty"`
}

// Credit is what a host tells the first one of a server's subset of its successes
// there, since that host alone lets the limit grow.
type Credit struct {
	Server    string `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Successes int    `cbor:"3,keyasint"`
	// Time sums the latencies of the successes.
	Time time.Duration `cbor:"4,keyasint"`
}

// newer reports whether k replaces old. Among records of equal rank the lower
// level wins, which is the safe side, so that all hosts settle on one.
func (k Knowledge) newer(old Knowledge) bool {
	if k.Epoch != old.Epoch {
		return k.Epoch > old.Epoch
	}
	if k.Sequence != old.Sequence {
		return k.Sequence > old.Sequence
	}
	return k.Level < old.Level
}
