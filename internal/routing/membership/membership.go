// Package membership decides which servers exist, from entries that arrive out
// of order, lapse while the store is away and return after it.
//
// # Usage
//
//	var t membership.Table
//	t.Replace(entries, now)
//	t.Put(entry, now)
//	t.Remove("i-1", now)
//	t.StoreLost()
//	t.StoreBack(now)
//	changed := t.Expire(now)
//	for _, e := range t.Entries() { ... }
//
// It answers this pattern: the store is away for some seconds, every entry
// lapses meanwhile, and the servers write theirs again within about two seconds
// of its return. Dropping them at once would leave no server for that time;
// keeping them longer would send requests to servers that have left. A removal
// in normal operation takes effect at once.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReturnTime is how long after the return of the store an entry that lapsed
// meanwhile may still come back. The platform's protocol states two seconds.
const ReturnTime = 2 * time.Second

// Entry is what a server said of itself.
type Entry struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Region   string
	Version  string
	Capacity int
	Draining bool
	// ColdUntil is when the server stops being cold; zero if it is not.
	ColdUntil time.Time
	// Born is the Unix millisecond of the server's start. A server that starts
	// again under its ID counts Sequence anew.
	Born     int64
	Sequence int64
}

// isOlder reports whether e was said before o.
func (e Entry) isOlder(o Entry) bool {
	if e.Born != o.Born {
		return e.Born < o.Born
	}
	return e.Sequence < o.Sequence
}

// Table holds the entries that are believed. The zero value is empty. It is not
// safe for concurrent use.
type Table struct {
	entries map[string]Entry
	// missing are the entries that were gone when the store came back.
	missing  map[string]bool
	isLost   bool
	returned time.Time
}

// Put takes in an entry unless a newer one of the same server is known. It
// reports whether anything changed.
func (t *Table) Put(e Entry) bool {
	if t.entries == nil {
		t.entries = map[string]Entry{}
	}
	delete(t.missing, e.ID)
	old, known := t.entries[e.ID]
	if known && e.Born == old.Born && e.Sequence == old.Sequence {
		// What was left of the cold time counts from when it was first heard.
		e.ColdUntil = old.ColdUntil
	}
	if known && (e.isOlder(old) || e == old) {
		return false
	}
	t.entries[e.ID] = e
	return true
}

// Remove takes in that an entry is gone and reports whether it was dropped. Soon
// after an outage it is only marked, because a live server writes it again.
func (t *Table) Remove(id string, now time.Time) bool {
	if _, known := t.entries[id]; !known {
		return false
	}
	if t.isLost || now.Before(t.returned.Add(ReturnTime)) {
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

// Replace takes in the whole list of entries.
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

// StoreLost records that the store did not answer.
func (t *Table) StoreLost() { t.isLost = true }

// StoreBack records that the store answers again.
func (t *Table) StoreBack(now time.Time) {
	if t.isLost {
		t.isLost = false
		t.returned = now
	}
}

// Expire drops the entries that did not come back in time and reports whether
// there were any.
func (t *Table) Expire(now time.Time) bool {
	if t.isLost || len(t.missing) == 0 || now.Before(t.returned.Add(ReturnTime)) {
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

// Entries returns the believed entries by ID.
func (t *Table) Entries() []Entry {
	return slices.SortedFunc(maps.Values(t.entries), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}
