// Package platform speaks to the platform's object API: objects with versions,
// conditional updates and watches, and the list of hosts.
//
// # Usage
//
// Store is the small interface that the rest of the system uses; Client
// implements it over HTTP:
//
//	var store platform.Store = platform.NewClient("127.0.0.2:9000", time.Second)
//	object, err := store.Get(ctx, "routes")
//	version, err := store.Put(ctx, "accepted", value, object.Version())
//
// Put with version 0 creates and fails if the object exists. A lost answer
// leaves the outcome of a Put unknown: its error is a fault of Unknown outcome,
// and the writer must read the object back. VersionConflict is always a proof
// that the write did not take place.
package platform

import (
	"context"
	"time"
)

// Object is a value with its version, as read from the store.
type Object struct {
	name    string
	version uint64
	value   []byte
}

// NewObject returns an Object.
func NewObject(name string, version uint64, value []byte) Object {
	return Object{name, version, value}
}

// Name returns the name of the object.
func (o Object) Name() string { return o.name }

// Version returns the store's version; it grows with every write and is never
// zero for an object that exists.
func (o Object) Version() uint64 { return o.version }

// Value returns the bytes of the object, at most 1 MiB.
func (o Object) Value() []byte { return o.value }

// HostEntry is a host of the platform's lagging list.
type HostEntry struct {
	id      string
	address string
	dc      string
	leaving bool
}

// NewHostEntry returns a HostEntry.
func NewHostEntry(id, address, dc string, leaving bool) HostEntry {
	return HostEntry{id, address, dc, leaving}
}

// ID returns the identity of the Host.
func (h HostEntry) ID() string { return h.id }

// Address returns the IP address and UDP port for peers.
func (h HostEntry) Address() string { return h.address }

// DataCentre returns the DataCentre of the Host.
func (h HostEntry) DataCentre() string { return h.dc }

// Leaving reports whether the platform is about to remove the Host.
func (h HostEntry) Leaving() bool { return h.leaving }

// Store is the platform's object API.
type Store interface {
	// Get returns an object, or an ObjectNotFound fault.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects whose names start with prefix, by name.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes an object if its version is still the given one (0: it does
	// not exist) and returns the new version.
	Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error)
	// Watch waits until the version of an object is above the given one and
	// returns the object, or the present one after the wait.
	Watch(ctx context.Context, name string, version uint64, wait time.Duration) (Object, error)
	// Hosts returns the lagging list of the system's hosts.
	Hosts(ctx context.Context) ([]HostEntry, error)
}
