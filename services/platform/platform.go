// Package platform is a client of the platform's object API, which offers
// versioned objects with conditional updates and watches, and a list of hosts.
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
// Put with version 0 creates an object and fails if the object already exists. If
// the response to a Put is lost, the error is a fault with the outcome Unknown.
// The writer must then read the object to learn whether it was written. A
// VersionConflict fault always proves that the write did not take place.
package platform

import (
	"context"
	"time"
)

// Object is a named value with its version, as read from the store.
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

// Version returns the version that the store assigned. It increases with every
// write and is never zero for an object that exists.
func (o Object) Version() uint64 { return o.version }

// Value returns the bytes of the object, at most 1 MiB.
func (o Object) Value() []byte { return o.value }

// HostEntry is an entry of the platform's list of hosts, which may be out of date.
type HostEntry struct {
	id         string
	address    string
	dataCentre string
	leaving    bool
}

// NewHostEntry returns a HostEntry.
func NewHostEntry(id, address, dataCentre string, leaving bool) HostEntry {
	return HostEntry{id, address, dataCentre, leaving}
}

// ID returns the ID of the host.
func (h HostEntry) ID() string { return h.id }

// Address returns the IP address and UDP port at which other hosts reach the
// host.
func (h HostEntry) Address() string { return h.address }

// DataCentre returns the name of the host's data centre.
func (h HostEntry) DataCentre() string { return h.dataCentre }

// Leaving reports whether the platform is about to remove the host.
func (h HostEntry) Leaving() bool { return h.leaving }

// Store is the platform's API for versioned objects and for the list of hosts.
type Store interface {
	// Get returns an object, or an ObjectNotFound fault.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects whose names start with prefix, sorted by name.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes an object if its current version equals version, and returns the
	// new version. Version 0 means that the object must not exist.
	Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error)
	// Watch waits until the version of an object is higher than version and
	// returns the object. If the version is still not higher after the wait time,
	// Watch returns the object as it is.
	Watch(ctx context.Context, name string, version uint64, wait time.Duration) (Object, error)
	// Hosts returns the platform's list of the system's hosts, which may be out of
	// date.
	Hosts(ctx context.Context) ([]HostEntry, error)
}
