// Package mirror keeps what a host has read from the platform's store, with the
// changes since, so that other hosts can read it there instead of from the store.
//
// # Usage
//
//	m := mirror.New[object]()
//	m.Replace("servers", changes, 207, false)   // a list was read at revision 207
//	m.Apply("servers", changes, 210)            // a watch told of changes up to 210
//	changed := m.Changed()
//	update := m.Since("servers", 207)
//
// It answers this load: each watch of each host that waits at the store is a call,
// and each change ends all of them, so that the calls grow with hosts times changes.
// With mirrors they grow with data centres times changes.
//
// A mirror decides nothing and agrees with nobody: revisions are the store's, and a
// reader that has got further than a mirror ignores it.
package mirror

import (
	"slices"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

const (
	// maxChanges bounds the changes that are kept of one kind. A reader that is
	// farther behind gets all objects.
	maxChanges = 2048
)

// Change is one object as it was at its last change.
type Change[T any] struct {
	Name     string
	Revision int64
	Deleted  bool
	Object   T
}

// Update is what a reader lacks.
type Update[T any] struct {
	// Revision is how far the reader is afterwards.
	Revision int64
	// Whole means that Changes are all objects, and that others are gone.
	Whole bool
	// AfterOutage means that objects which are missing may come back.
	AfterOutage bool
	Changes     []Change[T]
}

// IsEmpty reports whether the reader lacks nothing.
func (u Update[T]) IsEmpty() bool { return !u.Whole && len(u.Changes) == 0 }

// Mirror holds objects by kind. It is safe for concurrent use.
type Mirror[T any] struct {
	mu      sync.Mutex
	kinds   map[string]*kind[T]
	changed chan struct{}
}

// kind is what is known of the objects of one kind.
type kind[T any] struct {
	objects  map[string]Change[T]
	revision int64
	// listedAt is the revision from which on changes are complete.
	listedAt int64
	changes  []Change[T]
	// outageAt is when something was read that followed an outage.
	outageAt time.Time
}

// New returns an empty Mirror.
func New[T any]() *Mirror[T] {
	return &Mirror[T]{kinds: map[string]*kind[T]{}, changed: make(chan struct{})}
}

// Revision returns how far a kind is known; 0 means not at all.
func (m *Mirror[T]) Revision(name string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kinds[name]; k != nil {
		return k.revision
	}
	return 0
}

// Replace takes in all objects of a kind, read at a revision. It reports false and
// does nothing if the kind is known farther than that.
func (m *Mirror[T]) Replace(name string, objects []Change[T], revision int64, afterOutage bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	if k != nil && revision < k.revision {
		return false
	}
	next := &kind[T]{objects: make(map[string]Change[T], len(objects)), revision: revision, listedAt: revision}
	if afterOutage {
		next.outageAt = time.Now()
	}
	for _, o := range objects {
		next.objects[o.Name] = o
	}
	m.kinds[name] = next
	m.wake()
	return true
}

// Apply takes in changes up to a revision and returns those that were not known. After
// an outage objects that are gone may come back.
func (m *Mirror[T]) Apply(name string, changes []Change[T], revision int64, afterOutage bool) []Change[T] {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	if k == nil {
		return nil
	}
	var news []Change[T]
	for _, c := range changes {
		if c.Revision <= k.revision {
			continue
		}
		news = append(news, c)
		if c.Deleted {
			delete(k.objects, c.Name)
		} else {
			k.objects[c.Name] = c
		}
	}
	if afterOutage {
		k.outageAt = time.Now()
	}
	k.revision = max(k.revision, revision)
	k.changes = append(k.changes, news...)
	if extra := len(k.changes) - maxChanges; extra > 0 {
		k.listedAt = k.changes[extra-1].Revision
		k.changes = slices.Delete(k.changes, 0, extra)
	}
	if len(news) > 0 {
		m.wake()
	}
	return news
}

// Since returns what a reader lacks that knows a kind up to a revision; 0 means
// that it knows nothing. A reader that is ahead lacks nothing.
func (m *Mirror[T]) Since(name string, revision int64) Update[T] {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	if k == nil || revision >= k.revision {
		return Update[T]{Revision: revision}
	}
	u := Update[T]{Revision: k.revision}
	u.AfterOutage = !k.outageAt.IsZero() && time.Since(k.outageAt) < membership.ReregistrationGrace
	if revision < k.listedAt {
		u.Whole = true
		for _, o := range k.objects {
			u.Changes = append(u.Changes, o)
		}
		return u
	}
	for _, c := range k.changes {
		if c.Revision > revision {
			u.Changes = append(u.Changes, c)
		}
	}
	return u
}

// Changed returns a channel that is closed at the next change.
func (m *Mirror[T]) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// wake tells readers that wait. The caller holds mu.
func (m *Mirror[T]) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}
