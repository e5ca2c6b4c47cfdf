// Package ledger finds watches that have stopped telling of changes although
// their connections look well.
//
// # Usage
//
//	var l ledger.Ledger
//	l.Reset("servers", 207)         // a list was read at a revision
//	l.Saw("servers", 208)           // a change arrived
//	l.Advance("servers", 210)       // a watch answered up to a revision
//	for _, kind := range l.Check(215) { ... } // the store is at 215: list these again
//
// Every change of the store has a revision of its own. If the store has reached a
// revision that no watch told of, and that is still so at the next check, one of
// the watches may be deaf. Listing the kinds that have not got so far tells; after
// that the missing revisions count as changes of kinds that nobody follows.
//
// Weighed and left: shorter watches (a call each few seconds for every kind and
// host is priced), a watch in place of the deaf one (it may be as deaf).
package ledger

import (
	"maps"
	"slices"
)

// Ledger keeps the revisions that were told of. The zero value is empty. It is
// not safe for concurrent use.
type Ledger struct {
	floors map[string]int64
	seen   map[int64]bool
	// suspect is the newest revision that was missing at the last check.
	suspect int64
	// settled is the revision up to which nothing is missing any more.
	settled int64
}

// Reset records that all objects of a kind were read at a revision.
func (l *Ledger) Reset(kind string, revision int64) { l.Advance(kind, revision) }

// Advance records that a watch of a kind has told of all changes up to a
// revision.
func (l *Ledger) Advance(kind string, revision int64) {
	if l.floors == nil {
		l.floors = map[string]int64{}
	}
	l.floors[kind] = max(l.floors[kind], revision)
}

// Saw records a change that a watch told of.
func (l *Ledger) Saw(revision int64) {
	if revision <= l.settled {
		return
	}
	if l.seen == nil {
		l.seen = map[int64]bool{}
	}
	l.seen[revision] = true
}

// Floors returns the revision up to which the watch of each kind has told.
func (l *Ledger) Floors() map[string]int64 { return maps.Clone(l.floors) }

// Check takes in the revision that the store has reached and returns the kinds
// that are to be listed again.
func (l *Ledger) Check(revision int64) []string {
	if l.isMissing(l.suspect) {
		kinds := l.behind(l.suspect)
		l.settle(l.suspect)
		return kinds
	}
	l.suspect = l.newestMissing(revision)
	if l.suspect == 0 {
		l.settle(revision)
	}
	return nil
}

// isMissing reports whether no watch told of a revision.
func (l *Ledger) isMissing(revision int64) bool {
	return revision > max(l.settled, l.lowestFloor()) && !l.seen[revision]
}

// behind returns the kinds whose watches have not got as far as a revision.
func (l *Ledger) behind(revision int64) []string {
	var kinds []string
	for kind, floor := range l.floors {
		if floor < revision {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// newestMissing returns the newest revision up to one that no watch told of, or 0.
func (l *Ledger) newestMissing(revision int64) int64 {
	for r := revision; r > max(l.settled, l.lowestFloor()); r-- {
		if !l.seen[r] {
			return r
		}
	}
	return 0
}

func (l *Ledger) lowestFloor() int64 {
	lowest := int64(-1)
	for _, floor := range l.floors {
		if lowest < 0 || floor < lowest {
			lowest = floor
		}
	}
	return max(lowest, 0)
}

func (l *Ledger) settle(revision int64) {
	l.settled = max(l.settled, revision)
	l.suspect = 0
	for r := range l.seen {
		if r <= l.settled {
			delete(l.seen, r)
		}
	}
}
