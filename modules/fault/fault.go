// Package fault defines the typed failures that the system reports to callers and
// exchanges between its own processes.
//
// # Usage
//
// A Fault has a Kind, an Outcome and a human-readable detail. The text of the Kind is
// part of the API and does not change. The Outcome says whether the request may have
// run:
//
//	return fault.New(fault.UnknownRoute, fault.NotRun, "route %q is not in the accepted configuration", name)
//
// Use From to extract the Fault from a wrapped error. An error that wraps no Fault is
// Internal with the outcome Unknown, because it does not prove that the request did
// not run.
package fault

import (
	"errors"
	"fmt"
)

// Kind is a class of failure. Its text form is part of the API and must not change.
type Kind int

// The kinds of failure.
const (
	Internal Kind = iota
	MalformedBody
	BodyTooLarge
	HeaderTooLarge
	UnknownRoute
	InvalidTimeout
	InvalidKey
	KeyRequired
	DeadlineExceeded
	Overloaded
	NotReady
	Stopping
	NoSnapshot
	Incomplete
	UpstreamFailed
	UpstreamRefused
	ConnectionFailed
	ConnectionSilent
	CorruptReply
	StoreUnavailable
	KeyInUse
	KeyMismatch
	KeyExpired
	RequestQuarantined
	PeerFailed
	Cancelled
	VersionConflict
	ObjectTooLarge
	ObjectNotFound
	OutcomeUnknown
)

// Outcome says whether a failed request may have run on an upstream.
type Outcome int

// The outcomes of a failed request.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that the request has provably not run.
	NotRun
)

// Fault is a typed failure. The zero value is an Internal fault with the outcome
// Unknown.
type Fault struct {
	kind    Kind
	outcome Outcome
	detail  string
	cause   error
}

// New returns a Fault with a formatted detail.
func New(kind Kind, outcome Outcome, format string, args ...any) *Fault {
	return &Fault{kind: kind, outcome: outcome, detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a Fault with a formatted detail and err as its cause.
func Wrap(kind Kind, outcome Outcome, err error, format string, args ...any) *Fault {
	f := New(kind, outcome, format, args...)
	f.cause = err
	return f
}

// Kind returns the class of the failure.
func (f *Fault) Kind() Kind { return f.kind }

// Outcome says whether the request may have run.
func (f *Fault) Outcome() Outcome { return f.outcome }

// Detail returns the human-readable explanation, without the cause.
func (f *Fault) Detail() string { return f.detail }

// WithOutcome returns a copy of f with another outcome.
func (f *Fault) WithOutcome(outcome Outcome) *Fault {
	c := *f
	c.outcome = outcome
	return &c
}

// Error implements error.
func (f *Fault) Error() string {
	if f.cause == nil {
		return fmt.Sprintf("%s (%s): %s", f.kind, f.outcome, f.detail)
	}
	return fmt.Sprintf("%s (%s): %s: %v", f.kind, f.outcome, f.detail, f.cause)
}

// Unwrap returns the cause, if any.
func (f *Fault) Unwrap() error { return f.cause }

// From returns the outermost Fault in the chain of err. An error that wraps no Fault is
// returned as the cause of an Internal fault with the outcome Unknown.
func From(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return Wrap(Internal, Unknown, err, "unexpected failure")
}

// Is reports whether the outermost Fault in the chain of err has the given kind.
func Is(err error, kind Kind) bool {
	var f *Fault
	return errors.As(err, &f) && f.kind == kind
}

//go:generate ../../.bin/enumer -type=Kind,Outcome -transform=snake -text -output=fault_enumer.go
