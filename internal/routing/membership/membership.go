// Package membership tracks which servers exist. It is fed with entries of the store,
// which arrive out of order, expire while the store is unavailable and return after the
// outage.
//
// Typical use:
//
//	var t membership.Table
//	t.Replace(entries, now)
//	t.Put(entry)
//	t.Remove("i-1", now)
//	t.MarkStoreUnavailable()
//	t.MarkStoreAvailable(now)
//	changed := t.Expire(now)
//	for _, e := range t.Entries() { ... }
//
// It handles the case where the store is unavailable for some seconds, every entry
// expires in that time, and the servers write their entries again within about two
// seconds of its return. Dropping the entries at once would leave no server for that
// time; keeping them longer would send requests to servers that have left. Without an
// outage a removal takes effect at once.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReregistrationGrace is how long after an outage of the store a server may take to
// write an expired entry again. The platform's protocol states two seconds.
const ReregistrationGrace = 2 * time.Second

// Entry is what a server last wrote about itself.
type Entry struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Region     string
	Version    string
	Capacity   int
	Draining   bool
	// ColdUntil is when the server stops being cold; zero if it is not cold.
	ColdUntil time.Time
	// StartUnixMs is when the server started, in Unix milliseconds. A server that
	// restarts under its ID begins Sequence anew.
	StartUnixMs int64
	Sequence    int64
}

// isOlder reports whether e was written before o.
func (e Entry) isOlder(o Entry) bool {
	if e.StartUnixMs != o.StartUnixMs {
		return e.StartUnixMs < o.StartUnixMs
	}
	return e.Sequence < o.Sequence
}

// Table holds the current entries. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	entries map[string]Entry
	// missing are the IDs of entries that were removed during an outage or soon after
	// it.
	missing             map[string]bool
	isStoreUnavailable  bool
	storeAvailableSince time.Time
}

// Put stores an entry unless a newer one of the same server is known. It reports
// whether anything changed.
func (t *Table) Put(e Entry) bool {
	if t.entries == nil {
		t.entries = map[string]Entry{}
	}
	delete(t.missing, e.ID)
	old, known := t.entries[e.ID]
	if known && e.StartUnixMs == old.StartUnixMs && e.Sequence == old.Sequence {
		// The remaining cold time counts from when this entry was first read.
		e.ColdUntil = old.ColdUntil
	}
	if known && (e.isOlder(old) || e == old) {
		return false
	}
	t.entries[e.ID] = e
	return true
}

// Remove handles the removal of an entry from the store and reports whether the entry
// was dropped. During an outage and within ReregistrationGrace after it the entry is
// only marked as missing, because a live server writes it again.
func (t *Table) Remove(id string, now time.Time) bool {
	if _, known := t.entries[id]; !known {
		return false
	}
	if t.isStoreUnavailable || now.Before(t.storeAvailableSince.Add(ReregistrationGrace)) {
		t.markMissing(id)
		return false
	}
	delete(t.entries, id)
	delete(t.missing, id)
	return true
}

func (t *Table) markMissing(id string) {
	if t.missing == nil {
		t.missing = map[string]bool{}
	}
	t.missing[id] = true
}

// Replace makes entries the current ones: it stores each as Put does and handles the
// absence of others as Remove does. It reports whether anything changed.
func (t *Table) Replace(entries []Entry, now time.Time) bool {
	listed := make(map[string]bool, len(entries))
	changed := false
	for _, e := range entries {
		listed[e.ID] = true
		changed = t.Put(e) || changed
	}
	for id := range t.entries {
		if !listed[id] {
			changed = t.Remove(id, now) || changed
		}
	}
	return changed
}

// MarkStoreUnavailable records that the store did not answer.
func (t *Table) MarkStoreUnavailable() { t.isStoreUnavailable = true }

// MarkStoreAvailable records that the store answers again.
func (t *Table) MarkStoreAvailable(now time.Time) {
	if t.isStoreUnavailable {
		t.isStoreUnavailable = false
		t.storeAvailableSince = now
	}
}

// Expire drops the missing entries once ReregistrationGrace has passed since the
// outage. It reports whether there were any.
func (t *Table) Expire(now time.Time) bool {
	if t.isStoreUnavailable || len(t.missing) == 0 || now.Before(t.storeAvailableSince.Add(ReregistrationGrace)) {
		return false
	}
	for id := range t.missing {
		delete(t.entries, id)
	}
	t.missing = nil
	return true
}

// HasMissing reports whether Expire has entries to drop later.
func (t *Table) HasMissing() bool { return len(t.missing) > 0 }

// Entries returns the current entries, ordered by ID.
func (t *Table) Entries() []Entry {
	return slices.SortedFunc(maps.Values(t.entries), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}
