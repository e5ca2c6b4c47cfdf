// Package mirror keeps the objects that a host has read from the platform's store and
// their latest changes, so that other hosts can read both from this host instead of from
// the store.
//
// # Usage
//
//	m := mirror.New[object]()
//	m.Replace("servers", changes, mirror.Moment{Revision: 207}, time.Time{}) // a list
//	m.Apply("servers", changes, mirror.Moment{Revision: 210}, time.Time{})   // a watch up to 210
//	changed := m.Changed()
//	update := m.Since("servers", mirror.Moment{Revision: 207}, digest)
//
// Mirrors reduce the calls to the store when changes are frequent. Each pending watch is
// one call to the store, and each change ends the watches of all hosts that watch the
// store. Without mirrors, every host watches the store, and the number of calls grows
// with the number of hosts times the number of changes. With mirrors, it grows with the
// number of data centres times the number of changes.
//
// Mirrors need not agree with each other. The store assigns the revisions, and a reader
// (another host) whose moment is later than a mirror's ignores that mirror's updates. If the
// store loses changes and gives their revisions out again, a new era begins, and each moment
// of it is later than all moments of the former ones. Mirrors may notice the loss at different
// times, or not at all if the store has reached their revision again. Readers therefore also
// state a Digest of what they hold.
package mirror

import (
	"slices"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

const (
	// maxChanges is the largest number of changes that are kept for one kind (type of
	// object). A reader that also lacks earlier changes gets all objects of the kind.
	maxChanges = 2048
)

// Change is one change of an object, with the object as it is after the change.
type Change[T any] struct {
	Name     string
	Revision int64
	Deleted  bool
	Object   T
	// Hash identifies the name, the revision and the content of the object.
	Hash uint64
}

// Update holds the changes that bring a reader up to date with the mirror for one kind.
type Update[T any] struct {
	// At is the moment that the reader reaches by applying the update.
	At Moment
	// Digest is the digest of the objects at that moment.
	Digest Digest
	// IsDivergent means that the reader holds other objects than the mirror did at the reader's
	// moment.
	IsDivergent bool
	// IsSnapshot means that Changes holds all objects of the kind: any other object no
	// longer exists.
	IsSnapshot bool
	// OutageEnd is the end of the last outage of the store if that is so recent that a
	// missing object may still reappear, because servers have not yet written their expired
	// entries again; zero otherwise.
	OutageEnd time.Time
	Changes   []Change[T]
}

// IsEmpty reports whether the reader was up to date already.
func (u Update[T]) IsEmpty() bool { return !u.IsSnapshot && len(u.Changes) == 0 }

// Mirror holds objects by kind. It is safe for concurrent use.
type Mirror[T any] struct {
	mu      sync.Mutex
	kinds   map[string]*kindState[T]
	changed chan struct{}
}

// kindState holds the objects of one kind and their latest changes.
type kindState[T any] struct {
	objects map[string]Change[T]
	at      Moment
	// completeSince is the revision from which changes is complete: changes holds every
	// change of the kind with a higher revision.
	completeSince int64
	changes       []Change[T]
	// digests holds the digest of the objects after each of changes, and baseDigest that at
	// completeSince.
	digests    []Digest
	baseDigest Digest
	// outageEnd is the end of the last outage of the store; zero if there was none.
	outageEnd time.Time
}

// recordOutage records an outage of the store that ended at end.
func (k *kindState[T]) recordOutage(end time.Time) {
	if end.After(k.outageEnd) {
		k.outageEnd = end
	}
}

// New returns an empty Mirror.
func New[T any]() *Mirror[T] {
	return &Mirror[T]{kinds: map[string]*kindState[T]{}, changed: make(chan struct{})}
}

// Revision returns the revision up to which the mirror holds the changes of a kind, or
// 0 if the mirror does not hold the kind.
func (m *Mirror[T]) Revision(kind string) int64 { return m.Moment(kind).Revision }

// Moment returns the moment up to which the mirror holds the changes of a kind, or the zero
// moment if the mirror does not hold the kind.
func (m *Mirror[T]) Moment(kind string) Moment {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kinds[kind]; k != nil {
		return k.at
	}
	return Moment{}
}

// Replace replaces all objects of a kind with those that were listed at the given moment. It
// does nothing and returns false if the mirror already holds the kind at a later moment.
// outageEnd is the end of the outage of the store before the list; zero if there was none.
func (m *Mirror[T]) Replace(kind string, objects []Change[T], at Moment, outageEnd time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if k != nil && at.Compare(k.at) < 0 {
		return false
	}
	next := &kindState[T]{objects: make(map[string]Change[T], len(objects)), at: at, completeSince: at.Revision, baseDigest: emptyDigest, outageEnd: outageEnd}
	if k != nil {
		next.recordOutage(k.outageEnd)
	}
	for _, o := range objects {
		next.baseDigest = next.baseDigest.without(next.objects[o.Name].Hash).with(o.Hash)
		next.objects[o.Name] = o
	}
	m.kinds[kind] = next
	m.notifyReaders()
	return true
}

// Apply applies the changes of a kind up to the given moment and returns the changes that were
// new to the mirror. Changes of another era than that of the last Replace are ignored.
// outageEnd is the end of the outage of the store before the changes were read; zero if there
// was none. Servers whose entries expired in the outage may still write them again, so Since
// states the end of the outage for ReregistrationGrace.
func (m *Mirror[T]) Apply(kind string, changes []Change[T], at Moment, outageEnd time.Time) []Change[T] {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if k == nil || at.Era != k.at.Era {
		return nil
	}
	var applied []Change[T]
	digest := k.digest()
	for _, c := range changes {
		if c.Revision <= k.at.Revision {
			continue
		}
		applied = append(applied, c)
		digest = digest.without(k.objects[c.Name].Hash)
		if c.Deleted {
			delete(k.objects, c.Name)
		} else {
			k.objects[c.Name] = c
			digest = digest.with(c.Hash)
		}
		k.digests = append(k.digests, digest)
	}
	k.recordOutage(outageEnd)
	k.at.Revision = max(k.at.Revision, at.Revision)
	k.changes = append(k.changes, applied...)
	if excess := len(k.changes) - maxChanges; excess > 0 {
		k.completeSince, k.baseDigest = k.changes[excess-1].Revision, k.digests[excess-1]
		k.changes, k.digests = slices.Delete(k.changes, 0, excess), slices.Delete(k.digests, 0, excess)
	}
	if len(applied) > 0 {
		m.notifyReaders()
	}
	return applied
}

// Since returns the update for a reader that knows the changes of a kind up to the given
// moment, and holds objects with the given digest. The zero moment means that the reader does
// not know the kind. The update is empty if the mirror holds no later moment of the kind,
// unless the reader holds other objects than the mirror: then it gets all objects.
func (m *Mirror[T]) Since(kind string, from Moment, held Digest) Update[T] {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if k == nil {
		return Update[T]{At: from}
	}
	isDivergent := k.differsFrom(from, held)
	if from.Compare(k.at) >= 0 && !isDivergent {
		return Update[T]{At: from}
	}
	u := Update[T]{At: k.at, Digest: k.digest(), IsDivergent: isDivergent}
	if !k.outageEnd.IsZero() && time.Since(k.outageEnd) < membership.ReregistrationGrace {
		u.OutageEnd = k.outageEnd
	}
	if isDivergent || from.Era != k.at.Era || from.Revision < k.completeSince {
		u.IsSnapshot = true
		for _, o := range k.objects {
			u.Changes = append(u.Changes, o)
		}
		return u
	}
	for _, c := range k.changes {
		if c.Revision > from.Revision {
			u.Changes = append(u.Changes, c)
		}
	}
	return u
}

// Changed returns a channel that is closed at the next Replace that takes effect or the
// next Apply with a new change.
func (m *Mirror[T]) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// notifyReaders wakes the readers that wait for a change. The caller must hold mu.
func (m *Mirror[T]) notifyReaders() {
	close(m.changed)
	m.changed = make(chan struct{})
}
