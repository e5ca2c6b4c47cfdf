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

// maxMessage is the largest message between hosts in bytes.
const maxMessage = 20 << 20

// request is one request on a stream. Just the field of its kind is set.
type request struct {
	Kind     Kind               `cbor:"1,keyasint"`
	Exchange *Exchange          `cbor:"2,keyasint,omitempty"`
	Target   *membership.Member `cbor:"3,keyasint,omitempty"`
	Forward  *forward           `cbor:"4,keyasint,omitempty"`
	Nonce    string             `cbor:"5,keyasint,omitempty"`
	Claim    *claim.Request     `cbor:"6,keyasint,omitempty"`
}

type forward struct {
	Server   string           `cbor:"1,keyasint"`
	Attempt  string           `cbor:"2,keyasint"`
	Key      string           `cbor:"3,keyasint,omitempty"`
	Route    string           `cbor:"4,keyasint"`
	Holding  upstream.Holding `cbor:"5,keyasint"`
	Deadline int64            `cbor:"6,keyasint"`
	Payload  []byte           `cbor:"7,keyasint"`
}

// response is the answer on a stream.
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

type wireFault struct {
	Kind    fault.Kind       `cbor:"1,keyasint"`
	Outcome fault.Outcome    `cbor:"2,keyasint"`
	Detail  string           `cbor:"3,keyasint"`
	Refusal *upstream.Reason `cbor:"4,keyasint,omitempty"`
}

func newForward(server string, c upstream.Call) *forward {
	return &forward{
		Server:   server,
		Attempt:  c.Attempt(),
		Key:      c.Key(),
		Route:    c.Route(),
		Holding:  c.Holding(),
		Deadline: c.Deadline().UnixMilli(),
		Payload:  c.Payload(),
	}
}

func (f *forward) call() upstream.Call {
	call := upstream.NewCall(f.Attempt, f.Route, f.Holding, time.UnixMilli(f.Deadline), f.Payload)
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

// decode returns the fault as the error that the other host met.
func (w *wireFault) decode(server string) error {
	if w.Refusal != nil {
		return upstream.NewRefusal(server, *w.Refusal, upstream.NewState(nil, "", -1, false))
	}
	return fault.New(w.Kind, w.Outcome, "%s", w.Detail)
}

// answer returns the answer inside a response, if it belongs to the call and is
// whole.
func (r *response) answer(c upstream.Call) (*upstream.Answer, error) {
	switch {
	case r.Attempt != c.Attempt() || r.Holding == nil || *r.Holding != c.Holding():
		return nil, fault.New(fault.CorruptReply, fault.Unknown, "the peer answered another request")
	case r.Digest != upstream.Digest(r.Results):
		return nil, fault.New(fault.CorruptReply, fault.Unknown, "the peer's answer has not the stated checksum")
	}
	return upstream.NewAnswer(*r.Holding, r.Results), nil
}

func decodeMessage(r io.Reader, into any) error {
	body, err := io.ReadAll(io.LimitReader(r, maxMessage+1))
	if err != nil {
		return fault.Wrap(fault.PeerFailed, fault.Unknown, err, "the message of a peer broke off")
	}
	if len(body) > maxMessage {
		return fault.New(fault.BodyTooLarge, fault.Unknown, "the message of a peer is larger than %d bytes", maxMessage)
	}
	if err := cbor.Unmarshal(body, into); err != nil {
		return fault.Wrap(fault.MalformedBody, fault.Unknown, err, "the message of a peer cannot be read")
	}
	return nil
}
