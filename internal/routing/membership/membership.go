// Package membership tracks which servers exist. It receives the entries that servers
// write to the store. Entries may arrive out of order, expire while the store is
// unavailable and reappear after the outage.
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
// The package handles outages of the store that last some seconds. Every entry expires
// during such an outage, and the servers write their entries again within about two
// seconds after it. Dropping the expired entries at once would leave no server for that
// time; keeping them longer would send requests to servers that no longer exist. Without
// an outage a removal takes effect at once.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReregistrationGrace is the time that a server may take after an outage of the store to
// write an expired entry again. The platform's protocol sets it to two seconds.
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
	// ColdUntil is the time at which the server stops being cold, that is, slow and
	// easily overloaded because it has just started; zero if the server is not cold.
	ColdUntil time.Time
	// StartUnixMs is the time at which the server started, in Unix milliseconds. A server
	// that restarts under the same ID begins Sequence anew.
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

// Put stores an entry unless a newer entry of the same server is known. It reports
// whether the table changed.
func (t *Table) Put(e Entry) bool {
	if t.entries == nil {
		t.entries = map[string]Entry{}
	}
	delete(t.missing, e.ID)
	old, known := t.entries[e.ID]
	if known && e.StartUnixMs == old.StartUnixMs && e.Sequence == old.Sequence {
		// An entry holds the remaining cold time, which counts from the first reading of
		// the entry. Reading the entry again must not postpone its end.
		e.ColdUntil = old.ColdUntil
	}
	if known && (e.isOlder(old) || e == old) {
		return false
	}
	t.entries[e.ID] = e
	return true
}

// Remove handles the removal of an entry from the store and reports whether the entry was
// dropped from the table. During an outage and within ReregistrationGrace after it, the
// entry is only marked as missing, because its server writes it again if it is live.
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

// Replace makes entries the current ones: it stores each of them as Put does and handles
// the absence of any other as Remove does. It reports whether the table changed.
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

// Expire drops the missing entries once ReregistrationGrace has passed since the end of
// the outage. It reports whether it dropped any.
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

// HasMissing reports whether there are missing entries, which Expire will drop unless
// they are written again.
func (t *Table) HasMissing() bool { return len(t.missing) > 0 }

// Entries returns the current entries, ordered by ID.
func (t *Table) Entries() []Entry {
	return slices.SortedFunc(maps.Values(t.entries), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}
