// Package peer speaks to the system's other processes: QUIC with mutual TLS,
// CBOR messages, one stream a request.
//
// # Usage
//
// A Transport listens on one UDP address and dials from it. What arrives goes
// to a Handler:
//
//	t, err := peer.Listen("127.1.0.1:8082", keys)
//	go t.Serve(handler)
//	reply, err := t.Exchange(ctx, member, message)
//	answer, err := t.Forward(ctx, member, server, call)
//
// A request that could not be handed to a connection is proved not to have run;
// one whose answer is lost is of unknown outcome. The identity of a host is the
// common name of its certificate, and a message in the name of another host is
// refused.
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

// Kind is the kind of a request between hosts.
type Kind int

// The kinds of requests.
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

// Exchange is the news that two hosts give each other at every probe.
type Exchange struct {
	From       membership.Member       `cbor:"1,keyasint"`
	Members    []membership.Member     `cbor:"2,keyasint,omitempty"`
	Generation uint64                  `cbor:"3,keyasint"`
	Knowledge  []balance.Knowledge     `cbor:"4,keyasint,omitempty"`
	Suspects   []query.Suspect         `cbor:"5,keyasint,omitempty"`
	Evidence   []move.Evidence         `cbor:"6,keyasint,omitempty"`
	Progress   []move.Progress         `cbor:"7,keyasint,omitempty"`
	Credits    []balance.SuccessReport `cbor:"9,keyasint,omitempty"`
	// Loaded means that the sender knows the progress of all moves.
	Loaded bool `cbor:"8,keyasint,omitempty"`
}

// Handler answers requests of other hosts.
type Handler interface {
	// OnExchange takes in news and returns this host's.
	OnExchange(ctx context.Context, from string, news Exchange) Exchange
	// OnProbe probes a host for another one.
	OnProbe(ctx context.Context, target membership.Member) error
	// OnForward runs a call on a server.
	OnForward(ctx context.Context, server string, call upstream.Call) (*upstream.Answer, error)
	// OnConfiguration returns the accepted object, or nil.
	OnConfiguration() []byte
	// OnKnowledge returns what this host knows of all servers and all hosts.
	OnKnowledge() Exchange
	// OnResult waits for the answer of an attempt with a key, which may be nil.
	OnResult(ctx context.Context, nonce string) ([]byte, error)
	// OnClaim claims a key, or gives it back, for another host.
	OnClaim(ctx context.Context, req claim.Request) (claim.Reply, error)
}
