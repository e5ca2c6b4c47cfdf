// Package membership tracks which servers exist. Each server writes an entry, a
// description of itself, to the store and renews it. The package receives these entries.
// They may arrive out of order, expire while the store is unavailable and reappear after
// the outage.
//
// Typical use:
//
//	var t membership.Table
//	t.Replace(entries, now)
//	t.Put(entry)
//	t.Remove("i-1", now)
//	t.MarkStoreUnavailable()
//	t.MarkStoreAvailable(now)
//	t.RecordOutage(end)
//	t.BeginEra(now)
//	changed := t.Expire(now)
//	for _, e := range t.Entries() { ... }
//
// The package handles outages of the store that last some seconds. Every entry expires
// during such an outage, and the servers write their entries again within about two
// seconds after it. Expired entries are therefore kept for these two seconds. Dropping
// them at once would leave no server for that time, and keeping them longer would send
// requests to servers that no longer exist. Without an outage, an entry is dropped as
// soon as it is removed from the store.
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

// EraGrace is the time that the writers of the store may take to write again what it has lost,
// after it has returned to an earlier content. A server that has ended is also removed from
// the store in that time, after three intervals without a heartbeat.
const EraGrace = 6 * time.Second

// maxGone is the maximum number of servers that are remembered after their removal, and
// goneMemory the time for which they are. The store returns to a content of some seconds
// before.
const (
	maxGone    = 4096
	goneMemory = time.Minute
)

// Entry is the description of itself that a server wrote to the store.
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
	// StartUnixMs is the time at which the server started, in Unix milliseconds. The
	// server increments Sequence each time it writes its entry. A server that restarts
	// under the same ID starts Sequence anew.
	StartUnixMs int64
	Sequence    int64
}

// isOlder reports whether e was written before o, another entry of the same server.
func (e Entry) isOlder(o Entry) bool {
	if e.StartUnixMs != o.StartUnixMs {
		return e.StartUnixMs < o.StartUnixMs
	}
	return e.Sequence < o.Sequence
}

// Table holds the current entry of each server. The zero value is an empty table. It is
// not safe for concurrent use.
type Table struct {
	entries map[string]Entry
	// missingIDs are the IDs of entries that are still in the table although they were
	// removed from the store during an outage of the store or soon after it.
	missingIDs          map[string]bool
	isStoreUnavailable  bool
	storeAvailableSince time.Time
	// gone holds the last entries of servers that were dropped lately.
	gone map[string]goneEntry
	// returned holds the entries of such servers that the store named again because it has
	// lost their removal. They are not in use until returnAt, or until their servers write
	// again. isCopy means that the next Replace passes what the store holds after such a loss.
	returned map[string]Entry
	returnAt time.Time
	isCopy   bool
}

// goneEntry is an entry that was dropped at a time.
type goneEntry struct {
	Entry
	at time.Time
}

// Put stores an entry unless a newer entry of the same server is known. It reports
// whether the table changed.
func (t *Table) Put(e Entry) bool {
	if t.entries == nil {
		t.entries = map[string]Entry{}
	}
	delete(t.missingIDs, e.ID)
	delete(t.returned, e.ID)
	delete(t.gone, e.ID)
	old, known := t.entries[e.ID]
	if known && e.StartUnixMs == old.StartUnixMs && e.Sequence == old.Sequence {
		// An entry states the time for which its server will still be cold. This time
		// is counted from the first reading of the entry: reading the same entry again
		// must not postpone ColdUntil.
		e.ColdUntil = old.ColdUntil
	}
	if known && (e.isOlder(old) || e == old) {
		return false
	}
	t.entries[e.ID] = e
	return true
}

// Remove handles the removal of an entry from the store and reports whether the entry was
// dropped from the table. During an outage of the store and within ReregistrationGrace
// after it, Remove only marks the entry as missing, because a live server will write its
// entry again.
func (t *Table) Remove(id string, now time.Time) bool {
	delete(t.returned, id)
	if _, known := t.entries[id]; !known {
		return false
	}
	if t.isStoreUnavailable || now.Before(t.graceEnd()) {
		t.markMissing(id)
		return false
	}
	t.drop(id, now)
	delete(t.missingIDs, id)
	return true
}

// drop drops an entry and remembers it for some time.
func (t *Table) drop(id string, now time.Time) {
	if t.gone == nil {
		t.gone = map[string]goneEntry{}
	}
	if len(t.gone) >= maxGone {
		maps.DeleteFunc(t.gone, func(_ string, g goneEntry) bool { return now.Sub(g.at) > goneMemory })
	}
	if len(t.gone) < maxGone {
		t.gone[id] = goneEntry{t.entries[id], now}
	}
	delete(t.entries, id)
}

// BeginEra records that the store has lost changes: the entries that Replace passes next may
// be older than those before. A server that was removed lately and is named again stays out
// of use for EraGrace after since, from when on it can write to the store, unless it writes
// its entry again.
func (t *Table) BeginEra(since time.Time) {
	t.isCopy, t.returned, t.returnAt = true, map[string]Entry{}, since.Add(EraGrace)
}

// returnsByLoss reports whether an entry is named again only because the store has lost the
// removal of its server, and keeps such an entry out of use.
func (t *Table) returnsByLoss(e Entry, now time.Time) bool {
	g, isGone := t.gone[e.ID]
	if !t.isCopy || !isGone || g.isOlder(e) || now.Sub(g.at) > goneMemory {
		return false
	}
	t.returned[e.ID] = e
	return true
}

func (t *Table) markMissing(id string) {
	if t.missingIDs == nil {
		t.missingIDs = map[string]bool{}
	}
	t.missingIDs[id] = true
}

// Replace updates the table from entries, the complete list in the store. It stores each
// of them as Put does, and handles each entry of the table that is not in the list as
// Remove does. It reports whether the table changed.
func (t *Table) Replace(entries []Entry, now time.Time) bool {
	listed := make(map[string]bool, len(entries))
	changed := false
	for _, e := range entries {
		listed[e.ID] = true
		if !t.returnsByLoss(e, now) {
			changed = t.Put(e) || changed
		}
	}
	t.isCopy = false
	maps.DeleteFunc(t.returned, func(id string, _ Entry) bool { return !listed[id] })
	for id := range t.entries {
		if !listed[id] {
			changed = t.Remove(id, now) || changed
		}
	}
	return changed
}

// MarkStoreUnavailable records that the store does not answer, which begins an outage.
func (t *Table) MarkStoreUnavailable() { t.isStoreUnavailable = true }

// MarkStoreAvailable records that the store answers again, which ends the outage.
func (t *Table) MarkStoreAvailable(now time.Time) {
	if t.isStoreUnavailable {
		t.isStoreUnavailable = false
		t.storeAvailableSince = now
	}
}

// RecordOutage records an outage of the store that ended at end. Unlike MarkStoreAvailable,
// it serves a host that learns of the outage later, from another host: all hosts must drop
// expired entries at the same time, however late and often they are told.
func (t *Table) RecordOutage(end time.Time) {
	t.isStoreUnavailable = false
	if end.After(t.storeAvailableSince) {
		t.storeAvailableSince = end
	}
}

// graceEnd returns the time until which servers may write expired entries again.
func (t *Table) graceEnd() time.Time { return t.storeAvailableSince.Add(ReregistrationGrace) }

// Expire drops the entries that are still marked as missing once ReregistrationGrace has
// passed since the end of the outage, and uses those that returned with a loss of the store
// once EraGrace has passed. It reports whether the table changed.
func (t *Table) Expire(now time.Time) bool {
	changed := t.useReturned(now)
	if t.isStoreUnavailable || len(t.missingIDs) == 0 || now.Before(t.graceEnd()) {
		return changed
	}
	for id := range t.missingIDs {
		t.drop(id, now)
	}
	t.missingIDs = nil
	return true
}

// useReturned puts the entries in use that returned with a loss of the store and are still in
// it after EraGrace: their servers run.
func (t *Table) useReturned(now time.Time) bool {
	if len(t.returned) == 0 || now.Before(t.returnAt) {
		return false
	}
	for _, e := range t.returned {
		t.Put(e)
	}
	return true
}

// ExpireAt returns the time at which Expire next has something to do, unless the store becomes
// unavailable before, and the zero time if it has nothing to do.
func (t *Table) ExpireAt() time.Time {
	var at time.Time
	if len(t.missingIDs) > 0 {
		at = t.graceEnd()
	}
	if len(t.returned) > 0 && (at.IsZero() || t.returnAt.Before(at)) {
		at = t.returnAt
	}
	return at
}

// HasMissing reports whether any entries are marked as missing. Expire will drop them
// unless their servers write them again.
func (t *Table) HasMissing() bool { return len(t.missingIDs) > 0 }

// Entries returns the current entries, ordered by ID.
func (t *Table) Entries() []Entry {
	return slices.SortedFunc(maps.Values(t.entries), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}
