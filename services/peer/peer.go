// Package peer implements requests between the hosts of the system. It uses QUIC with
// mutual TLS, CBOR messages and one stream per request.
//
// A Transport listens on one UDP address and dials from it. It passes incoming requests
// to a Handler:
//
//	t, err := peer.Listen("127.1.0.1:8082", credentials)
//	go t.Serve(handler)
//	reply, err := t.Exchange(ctx, member, message)
//	answer, err := t.Forward(ctx, member, server, call)
//
// If no stream can be opened for a request, the request is known not to have run. If the
// request fails later, for example because the answer is lost, its outcome is unknown.
// The ID of a host is the common name of its certificate. An Exchange whose From field
// has another ID is rejected.
package peer

import (
	"context"

	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/claim"
	"github.com/godwithatch/godwithatch/services/membership"
	"github.com/godwithatch/godwithatch/services/move"
	"github.com/godwithatch/godwithatch/services/query"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// Kind says which method of the other host's Handler answers a request.
type Kind int

// The kinds of requests. The request KindExchange is answered by Handler.OnExchange, and
// likewise for the others.
const (
	KindExchange Kind = iota + 1
	KindProbe
	KindForward
	KindConfiguration
	KindKnowledge
	KindResult
	KindClaim
)

//go:generate ../../.bin/enumer -type=Kind -trimprefix=Kind -transform=snake -output=kind_enumer.go

// Exchange is the gossip message that two hosts send each other at every probe.
type Exchange struct {
	From           membership.Member       `cbor:"1,keyasint"`
	Members        []membership.Member     `cbor:"2,keyasint,omitempty"`
	Generation     uint64                  `cbor:"3,keyasint"`
	Knowledge      []balance.Knowledge     `cbor:"4,keyasint,omitempty"`
	Suspects       []query.Suspect         `cbor:"5,keyasint,omitempty"`
	Evidence       []move.Evidence         `cbor:"6,keyasint,omitempty"`
	Progress       []move.Progress         `cbor:"7,keyasint,omitempty"`
	SuccessReports []balance.SuccessReport `cbor:"9,keyasint,omitempty"`
	// HasMoveProgress reports whether the sender knows the progress of all moves of
	// routes from one pool to another.
	HasMoveProgress bool `cbor:"8,keyasint,omitempty"`
}

// Handler answers requests of other hosts.
type Handler interface {
	// OnExchange merges a gossip message that the host with the ID from has sent, and
	// returns this host's own message.
	OnExchange(ctx context.Context, from string, message Exchange) Exchange
	// OnProbe probes target on behalf of another host.
	OnProbe(ctx context.Context, target membership.Member) error
	// OnForward sends a call to an upstream server on behalf of another host.
	OnForward(ctx context.Context, server string, call upstream.Call) (*upstream.Answer, error)
	// OnConfiguration returns the document with the accepted tables of routes and pools
	// that this host uses, or nil if there is none.
	OnConfiguration() []byte
	// OnKnowledge returns a gossip message with all that this host knows about servers
	// and hosts.
	OnKnowledge() Exchange
	// OnResult waits for the end of an attempt on this host. The nonce is the one with
	// which the attempt claimed an idempotency key. OnResult returns the encoded result
	// of the attempt, or nil if there is none.
	OnResult(ctx context.Context, nonce string) ([]byte, error)
	// OnClaim claims or releases an idempotency key on behalf of another host.
	OnClaim(ctx context.Context, req claim.Request) (claim.Reply, error)
}
