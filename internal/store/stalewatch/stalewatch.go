// Package stalewatch detects watches that no longer deliver changes although their
// connections look healthy.
//
// # Usage
//
//	var d stalewatch.Detector
//	d.RecordList("servers", 207)     // a list was read at revision 207
//	d.RecordChange(208)              // a watch delivered the change with revision 208
//	d.RecordProgress("servers", 210) // a watch has delivered all changes up to revision 210
//	kinds, isMissing := d.Check(215) // the store is at 215: list these kinds again
//	if isMissing { ... }             // check again once the watches have had time to deliver it
//
// Objects in the store have a kind, such as servers, and each watch covers one kind.
// Every change in the store has its own revision. A revision that the store has reached
// is missing if no watch has delivered it. If it is still missing at the following check,
// one of the watches may have stalled. The caller then lists the kinds whose watches have
// not reached the missing revision, which brings these kinds up to date. If a list does not
// reach it either, because the list was sent before, the kind is returned again. A revision
// that all kinds have reached and no watch has delivered is assumed to be a change of a kind
// that this host does not watch.
//
// The revision must be known without stale answers at regular intervals: while no watch
// delivers anything, nothing else shows how old a stale answer is. Shorter watches are no
// solution: each watch is a call to the store and has a cost, and
// each host would need a new watch of each kind every few seconds. Replacing a stalled
// watch with a new watch is no solution either, because the new watch may stall as well.
package stalewatch

import (
	"maps"
	"slices"
)

// Detector tracks the revisions that watches have delivered. The zero value is empty. It
// is not safe for concurrent use.
type Detector struct {
	// progress holds, by kind, the revision up to which all changes of the kind were
	// delivered.
	progress  map[string]int64
	delivered map[int64]bool
	// suspectRevision is the oldest revision that was missing at the last check, or 0.
	suspectRevision int64
	// settledRevision is the highest revision that is no longer tracked. Neither it nor
	// any earlier revision counts as missing.
	settledRevision int64
}

// RecordList records that all objects of a kind were listed at the given revision.
func (d *Detector) RecordList(kind string, revision int64) { d.RecordProgress(kind, revision) }

// RecordProgress records that the watch of a kind has delivered all changes up to the
// given revision.
func (d *Detector) RecordProgress(kind string, revision int64) {
	if d.progress == nil {
		d.progress = map[string]int64{}
	}
	d.progress[kind] = max(d.progress[kind], revision)
}

// RecordChange records that a watch delivered the change with the given revision.
func (d *Detector) RecordChange(revision int64) {
	if revision <= d.settledRevision {
		return
	}
	if d.delivered == nil {
		d.delivered = map[int64]bool{}
	}
	d.delivered[revision] = true
}

// Progress returns the revision that the watch of each kind has reached.
func (d *Detector) Progress() map[string]int64 { return maps.Clone(d.progress) }

// Check compares the delivered changes with the revision that the store has reached. It
// returns the kinds to list again, which are the kinds whose watches have not reached a
// revision that was already missing at the previous check. isMissing means that another
// revision is missing, for which the caller should check again.
func (d *Detector) Check(revision int64) (kinds []string, isMissing bool) {
	if d.isMissing(d.suspectRevision) {
		kinds := d.kindsBehind(d.suspectRevision)
		d.suspectRevision = 0
		return kinds, false
	}
	return nil, d.Suspect(revision)
}

// Suspect looks for a missing revision for the next check, unless the one that the previous
// check has found is still missing. It reports whether a revision is missing.
func (d *Detector) Suspect(revision int64) bool {
	if d.isMissing(d.suspectRevision) {
		return true
	}
	d.suspectRevision = d.oldestMissingRevision(revision)
	if d.suspectRevision == 0 {
		d.settleUpTo(revision)
	}
	return d.suspectRevision != 0
}

// isMissing reports whether a revision counts as missing: it is still tracked, no watch
// has delivered it, and the watch of at least one kind has not reached it.
func (d *Detector) isMissing(revision int64) bool {
	return revision > max(d.settledRevision, d.minProgress()) && !d.delivered[revision]
}

// kindsBehind returns the kinds whose watches have not reached the given revision.
func (d *Detector) kindsBehind(revision int64) []string {
	var kinds []string
	for kind, reached := range d.progress {
		if reached < revision {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// oldestMissingRevision returns the lowest revision that counts as missing and is not
// above the given revision, or 0 if no revision is missing. The newest one would change all the
// time while watches deliver a steady stream of changes.
func (d *Detector) oldestMissingRevision(revision int64) int64 {
	for r := max(d.settledRevision, d.minProgress()) + 1; r <= revision; r++ {
		if !d.delivered[r] {
			return r
		}
	}
	return 0
}

// minProgress returns the progress of the watch that is furthest behind, or 0 if there
// are no watches.
func (d *Detector) minProgress() int64 {
	lowest := int64(-1)
	for _, reached := range d.progress {
		if lowest < 0 || reached < lowest {
			lowest = reached
		}
	}
	return max(lowest, 0)
}

// settleUpTo stops tracking all revisions up to the given one.
func (d *Detector) settleUpTo(revision int64) {
	d.settledRevision = max(d.settledRevision, revision)
	d.suspectRevision = 0
	for r := range d.delivered {
		if r <= d.settledRevision {
			delete(d.delivered, r)
		}
	}
}
