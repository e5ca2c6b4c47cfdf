package balance

import (
	"time"

	"github.com/godwithatch/godwithatch/services/upstream"
)

// FullLevel is the level of a server that has ramped up. A level is the maximum number of
// requests that all hosts together may have in flight at a server; FullLevel means no
// such limit.
const FullLevel = 1 << 20

// Knowledge is the record of one server that hosts exchange. Of two records of a server,
// the one with the higher epoch is newer. If the epochs are equal, the one with the
// higher sequence number is newer.
type Knowledge struct {
	Server   string             `cbor:"1,keyasint"`
	Epoch    uint64             `cbor:"2,keyasint"`
	Sequence uint64             `cbor:"3,keyasint"`
	Level    int                `cbor:"4,keyasint"`
	Instance string             `cbor:"5,keyasint,omitempty"`
	Holdings []upstream.Holding `cbor:"6,keyasint,omitempty"`
	Draining bool               `cbor:"7,keyasint,omitempty"`
}

// SuccessReport reports the successful requests of one host to a server. It is sent to
// the first host of the server's subset (the ordered list of the hosts that may send
// requests to it), because only that host raises the server's level.
type SuccessReport struct {
	Server    string `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Successes int    `cbor:"3,keyasint"`
	// TotalLatency is the sum of the latencies of the successes.
	TotalLatency time.Duration `cbor:"4,keyasint"`
}

// newer reports whether k replaces old. Of two records with equal epoch and sequence
// number, the one with the lower level replaces the other, so that all hosts agree on one
// record. The lower level is the safer one.
func (k Knowledge) newer(old Knowledge) bool {
	if k.Epoch != old.Epoch {
		return k.Epoch > old.Epoch
	}
	if k.Sequence != old.Sequence {
		return k.Sequence > old.Sequence
	}
	return k.Level < old.Level
}
