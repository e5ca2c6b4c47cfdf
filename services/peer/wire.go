package peer

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/claim"
	"github.com/godwithatch/godwithatch/services/membership"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// maxMessageBytes is the maximum size of a message between hosts in bytes.
const maxMessageBytes = 20 << 20

// request is the message that a host sends on a new stream. Of the fields after Kind,
// only the one that Kind requires is set.
type request struct {
	Kind     Kind               `cbor:"1,keyasint"`
	Exchange *Exchange          `cbor:"2,keyasint,omitempty"`
	Target   *membership.Member `cbor:"3,keyasint,omitempty"`
	Forward  *forward           `cbor:"4,keyasint,omitempty"`
	Nonce    string             `cbor:"5,keyasint,omitempty"`
	Claim    *claim.Request     `cbor:"6,keyasint,omitempty"`
}

// forward is a call that the receiving host must send to an upstream server.
type forward struct {
	Server         string           `cbor:"1,keyasint"`
	Attempt        string           `cbor:"2,keyasint"`
	Key            string           `cbor:"3,keyasint,omitempty"`
	Route          string           `cbor:"4,keyasint"`
	Holding        upstream.Holding `cbor:"5,keyasint"`
	DeadlineUnixMs int64            `cbor:"6,keyasint"`
	Payload        []byte           `cbor:"7,keyasint"`
}

// response is the answer to a request on the same stream.
type response struct {
	Fault    *wireFault        `cbor:"1,keyasint,omitempty"`
	Exchange *Exchange         `cbor:"2,keyasint,omitempty"`
	Attempt  string            `cbor:"3,keyasint,omitempty"`
	Holding  *upstream.Holding `cbor:"4,keyasint,omitempty"`
	Results  []byte            `cbor:"5,keyasint,omitempty"`
	Digest   uint64            `cbor:"6,keyasint,omitempty"`
	Document []byte            `cbor:"7,keyasint,omitempty"`
	Claim    *claim.Reply      `cbor:"8,keyasint,omitempty"`
}

// wireFault is the encoded form of a fault. Refusal is set if an upstream refused the
// request.
type wireFault struct {
	Kind    fault.Kind       `cbor:"1,keyasint"`
	Outcome fault.Outcome    `cbor:"2,keyasint"`
	Detail  string           `cbor:"3,keyasint"`
	Refusal *upstream.Reason `cbor:"4,keyasint,omitempty"`
}

func newForward(server string, c upstream.Call) *forward {
	return &forward{
		Server:         server,
		Attempt:        c.Attempt(),
		Key:            c.Key(),
		Route:          c.Route(),
		Holding:        c.Holding(),
		DeadlineUnixMs: c.Deadline().UnixMilli(),
		Payload:        c.Payload(),
	}
}

func (f *forward) call() upstream.Call {
	call := upstream.NewCall(f.Attempt, f.Route, f.Holding, time.UnixMilli(f.DeadlineUnixMs), f.Payload)
	if f.Key != "" {
		call = call.WithKey(f.Key)
	}
	return call
}

func encodeFault(err error) *wireFault {
	f := fault.From(err)
	w := &wireFault{Kind: f.Kind(), Outcome: f.Outcome(), Detail: f.Detail()}
	if refusal, ok := asRefusal(err); ok {
		reason := refusal.Reason()
		w.Refusal = &reason
	}
	return w
}

// decode returns the error that occurred on the given host.
func (w *wireFault) decode(host string) error {
	if w.Refusal != nil {
		return upstream.NewRefusal(host, *w.Refusal, upstream.NewState(nil, "", -1, false))
	}
	return fault.New(w.Kind, w.Outcome, "%s", w.Detail)
}

// answer returns the answer to call c that the response contains. It fails with
// CorruptReply if the response belongs to another call or its results do not match the
// checksum.
func (r *response) answer(c upstream.Call) (*upstream.Answer, error) {
	switch {
	case r.Attempt != c.Attempt() || r.Holding == nil || *r.Holding != c.Holding():
		return nil, fault.New(fault.CorruptReply, fault.Unknown, "the peer answered another request")
	case r.Digest != upstream.Digest(r.Results):
		return nil, fault.New(fault.CorruptReply, fault.Unknown, "the peer's answer has not the stated checksum")
	}
	return upstream.NewAnswer(*r.Holding, r.Results), nil
}

// decodeMessage reads r to its end and decodes it as one message of at most
// maxMessageBytes.
func decodeMessage(r io.Reader, into any) error {
	body, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return fault.Wrap(fault.PeerFailed, fault.Unknown, err, "the message of a peer was cut short")
	}
	if len(body) > maxMessageBytes {
		return fault.New(fault.BodyTooLarge, fault.Unknown, "the message of a peer is larger than %d bytes", maxMessageBytes)
	}
	if err := cbor.Unmarshal(body, into); err != nil {
		return fault.Wrap(fault.MalformedBody, fault.Unknown, err, "the message of a peer cannot be decoded")
	}
	return nil
}
