package http1

import (
	"net/http"
	"sync/atomic"
)

// Match says how a response was matched to a request.
type Match int

//go:generate ../../../.bin/enumer -type=Match -transform=snake -linecomment -output=match_enumer.go

// The ways in which a response is matched to a request.
const (
	// Echoed means that the response carries the ID of the request.
	Echoed Match = iota
	// First means that the response carries no ID, but is the first one on its
	// connection.
	First
	// Unidentified means that the response carries no ID and that its connection has
	// carried other responses. It may be an additional response to one of their requests,
	// so it says nothing about this request, which may have run.
	Unidentified
	// Foreign means that the response carries the ID of another request.
	Foreign
)

// matchCount is the number of Match values.
const matchCount = int(Foreign) + 1

// matchCounters count responses by their match. The zero value is ready for use.
type matchCounters [matchCount]atomic.Int64

// matchOf returns how a response with header h matches call. isFirst says that no other
// response has arrived on the connection.
func matchOf(h http.Header, call *Call, echoHeader string, isFirst bool) Match {
	switch echo := h.Get(echoHeader); {
	case echo == call.RequestID:
		return Echoed
	case echo != "":
		return Foreign
	case isFirst:
		return First
	default:
		return Unidentified
	}
}
