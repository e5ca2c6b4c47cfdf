// Package http1 exchanges requests with servers over HTTP/1.1 connections that
// it keeps open, and tells for each failure whether the request may have run.
//
// # Usage
//
//	p := http1.NewPool(http1.Options{EchoHeader: "Request-Id"})
//	reply, err := p.Exchange(ctx, "10.0.0.1:8080", call)
//	var failure *http1.Failure
//	if errors.As(err, &failure) && failure.Stage == http1.Unsent { ... }
//
// net/http's Transport is not used, because it sends a request again by itself
// on some failures, and because it hides bytes that a faulty server sends after
// an answer. Parsing is net/http's.
//
// A connection is used again only if the last answer was framed, nothing was
// left unread behind it, and it was idle for less than the server announced. An
// answer that echoes the identity of another request is read past.
package http1

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Stage is how far a failed exchange came.
type Stage int

// The stages.
const (
	// Unsent means that no byte of the request left this process.
	Unsent Stage = iota
	// Sent means that the request may have run.
	Sent
	// Reset means that a new connection was reset before any byte of an answer,
	// as servers do beyond their limit of connections. The request may have run.
	Reset
)

// Failure is a failed exchange.
type Failure struct {
	Stage Stage
	cause error
	what  string
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %v", f.what, f.cause) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

func unsent(what string, err error) error { return &Failure{Unsent, err, what} }

func reset(what string, err error) error { return &Failure{Reset, err, what} }

func sent(what string, err error) error { return &Failure{Sent, err, what} }

// corrupt is the failure of an answer that breaks the protocol.
type corrupt string

// Error implements error.
func (c corrupt) Error() string { return string(c) }

// Call is one request.
type Call struct {
	Method string
	// Target is the request target as it stands on the request line.
	Target string
	Host   string
	Header http.Header
	// Head is what AppendHead makes of the fields above; a caller that sends the same
	// to many servers makes it once.
	Head []byte
	// Fields are further header fields.
	Fields []Field
	Body   []byte
	// HasBody makes a length go out for an empty body.
	HasBody bool
	// Echo is the identity that the answer repeats.
	Echo string
	// Fresh allows only connections that were used a moment ago or are new.
	Fresh bool
	// KeepIdle is how long the connection may be idle afterwards, if the server
	// states no shorter time; 0 means idleLimit.
	KeepIdle time.Duration
}

// Field is one field of a header.
type Field struct{ Name, Value string }

// AppendHead appends the request line and the header, without Fields.
func (call *Call) AppendHead(b []byte) []byte {
	b = append(append(b, call.Method...), ' ')
	b = append(append(b, call.Target...), " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", call.Host)
	for name, values := range call.Header {
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	return b
}

func appendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// Reply is a whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Options are the parameters of a Pool.
type Options struct {
	// EchoHeader names the header in which servers repeat the identity of a
	// request.
	EchoHeader string
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Connected is called with the time that a connection took to open.
	Connected func(address string, took time.Duration)
	// MaxBody is the largest body of an answer in bytes; 0 means maxBody.
	MaxBody int64
}
