// Package quarantine identifies requests that end the servers that run them.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
)

// Fingerprint identifies what a request asks, and for which caller. Each attempt of a
// client has its own ID, but the attempts to ask the same share their Fingerprint.
type Fingerprint uint64

// FingerprintOf returns the Fingerprint of a request. caller is what identifies the caller
// to servers, such as its credentials; it may be empty. The hash is cryptographic, because
// a caller must not find a request with the Fingerprint of another caller's.
func FingerprintOf(method, host, target, caller string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, host, target, caller} {
		// Zero bytes occur in none of the parts. A hash returns no error.
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the Fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
