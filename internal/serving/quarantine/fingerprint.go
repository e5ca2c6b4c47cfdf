package quarantine

import (
	"crypto/sha256"
	"encoding"
	"encoding/hex"
	"io"
)

// Fingerprint identifies what a request asks, and for which caller. Each attempt of a
// client has its own ID, but the attempts to ask the same share their Fingerprint.
type Fingerprint [16]byte

var (
	_ encoding.TextMarshaler   = Fingerprint{}
	_ encoding.TextUnmarshaler = (*Fingerprint)(nil)
)

// FingerprintOf returns the Fingerprint of a request. caller is what identifies the caller
// to servers, such as its credentials; it may be empty. The hash is cryptographic, because
// a caller must not find two requests with the same Fingerprint.
func FingerprintOf(method, host, target, caller string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, host, target, caller} {
		// Zero bytes occur in none of the parts. A hash returns no error.
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the Fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return hex.ErrLength
	}
	_, err := hex.Decode(f[:], text)
	return err
}
