// Package http1 is an HTTP/1.1 client with a pool of persistent connections. It
// reports for each failure whether the server may have executed the request.
//
// # Usage
//
//	p := http1.NewPool(http1.Options{EchoHeader: "Request-Id"})
//	reply, err := p.Exchange(ctx, "10.0.0.1:8080", call)
//	var failure *http1.Failure
//	if errors.As(err, &failure) && failure.Stage == http1.Unsent { ... }
//
// The Transport of net/http is not used, because it retries a request by itself
// after some failures, and because it hides bytes that a faulty server sends after
// a response. Responses are parsed by net/http.
//
// A connection is reused only if four conditions hold. The last response echoed the ID of
// its request, its length was known from its header or its chunks, no unread bytes
// followed it, and the connection has been idle for less than the timeout that the server
// announced. A response that echoes the ID of another request is skipped. Reply.Match says
// whether a response without an ID can be the answer to the request.
package http1

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Stage says how far an exchange got before it failed.
type Stage int

// The stages of a failed exchange.
const (
	// Unsent means that no byte of the request left this process.
	Unsent Stage = iota
	// Sent means that the server may have executed the request.
	Sent
	// Reset means that the server reset a new connection before it sent a complete
	// response. Servers do so when they are at their connection limit. The server may
	// have executed the request.
	Reset
)

// Failure is the error of a failed exchange.
type Failure struct {
	Stage Stage
	cause error
	op    string
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %v", f.op, f.cause) }

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.cause }

// connectionError is the error of an exchange for which there is no suitable connection.
type connectionError string

// Error implements error.
func (e connectionError) Error() string { return string(e) }

// ErrNotConnected is the cause of a failure if no connection has been open since Call.OpenBy.
const ErrNotConnected connectionError = "no connection has been open since then"

func unsentError(op string, err error) error { return &Failure{Unsent, err, op} }

func resetError(op string, err error) error { return &Failure{Reset, err, op} }

func sentError(op string, err error) error { return &Failure{Sent, err, op} }

// protocolError is the error of a response that is too large or belongs to another
// request.
type protocolError string

// Error implements error.
func (e protocolError) Error() string { return string(e) }

// Call is one HTTP request.
type Call struct {
	Method string
	// Target is the request target as written on the request line.
	Target string
	Host   string
	Header http.Header
	// Head is the request line and Header as encoded by AppendHead, or nil. A caller
	// that sends the same request to many servers can encode them once and set Head in
	// each Call.
	Head []byte
	// Fields are further header fields, written after the request line and Header.
	Fields []Field
	Body   []byte
	// HasBody is set if Content-Length must be sent even if Body is empty.
	HasBody bool
	// RequestID is the ID of the request. A response that carries another ID in the
	// header Options.EchoHeader is skipped.
	RequestID string
	// RequireFresh restricts the exchange to new connections and to connections that were
	// idle for at most one second.
	RequireFresh bool
	// OpenBy restricts the exchange to connections that were open at that time; zero for no
	// restriction. If there is none, the exchange fails with ErrNotConnected and sends nothing.
	OpenBy time.Time
	// MaxBody is the maximum size of the response body in bytes, if it is less than that of
	// the pool; 0 means the pool's.
	MaxBody int64
	// IdleTimeout is the idle timeout of the connection after this exchange, unless the
	// server announces a shorter timeout; 0 means 50 s.
	IdleTimeout time.Duration
}

// Field is one header field.
type Field struct{ Name, Value string }

// AppendHead appends the request line and Header to b, without Fields.
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

// Reply is a complete response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Match says how the response was matched to the request.
	Match Match
	// SentAt is the time at which the request was sent.
	SentAt time.Time
	// IsConnectionKept means that the connection stays open for further exchanges.
	IsConnectionKept bool
}

// Options configures a Pool.
type Options struct {
	// EchoHeader is the name of the response header in which servers repeat the ID
	// of the request.
	EchoHeader string
	// Dial opens a connection; nil means TCP over IPv4.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnConnect, if not nil, is called after each successful dial with the time that
	// the dial took.
	OnConnect func(address string, took time.Duration)
	// MaxBody is the maximum size of a response body in bytes; 0 means 16 MiB.
	MaxBody int64
	// MaxBodies is the maximum memory in bytes for the response bodies that are being read
	// at the same time, except for those of up to 64 KiB; 0 means no limit. A response
	// that exceeds it fails, and the server may have executed its request.
	MaxBodies int64
}
