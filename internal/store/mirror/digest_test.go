package mirror

import (
	"testing"
	"time"
)

func hashed(name string, revision int64, hash uint64) Change[string] {
	return Change[string]{Name: name, Revision: revision, Hash: hash}
}

func TestMirrorsWithTheSameObjectsHaveTheSameDigest(t *testing.T) {
	lister, watcher := New[string](), New[string]()
	watcher.Replace("k", []Change[string]{hashed("a", 2, 10), hashed("b", 3, 20)}, Moment{Revision: 3}, time.Time{})
	watcher.Apply("k", []Change[string]{hashed("a", 4, 11), {Name: "b", Revision: 5, Deleted: true, Hash: 21}, hashed("c", 6, 30)}, Moment{Revision: 6}, time.Time{})
	lister.Replace("k", []Change[string]{hashed("c", 6, 30), hashed("a", 4, 11)}, Moment{Revision: 6}, time.Time{})
	if a, b := lister.Digest("k"), watcher.Digest("k"); a != b || a == 0 {
		t.Errorf("digests %d and %d, want the same", a, b)
	}
	if lister.Digest("other") != 0 {
		t.Error("a kind that the mirror does not hold has a digest")
	}
	empty := New[string]()
	empty.Replace("k", nil, Moment{Revision: 6}, time.Time{})
	if empty.Digest("k") == 0 {
		t.Error("a kind without objects has the digest of an unknown one")
	}
}

func TestUpdateTellsWhetherReaderHoldsOtherObjects(t *testing.T) {
	m := New[string]()
	m.Replace("k", []Change[string]{hashed("a", 2, 10)}, Moment{Revision: 3}, time.Time{})
	at3 := m.Digest("k")
	m.Apply("k", []Change[string]{hashed("a", 5, 11)}, Moment{Revision: 6}, time.Time{})
	at6 := m.Digest("k")
	for _, test := range []struct {
		from        int64
		held        Digest
		isDivergent bool
	}{{6, at6, false}, {5, at6, false}, {4, at3, false}, {3, at3, false}, {6, at3, true}, {4, at6, true}, {6, 0, false}, {7, at3, false}, {1, at3, false}} {
		if u := m.Since("k", Moment{Revision: test.from}, test.held); u.IsDivergent != test.isDivergent {
			t.Errorf("reader at revision %d with digest %d: %+v", test.from, test.held, u)
		}
	}
	if u := m.Since("k", Moment{Revision: 4}, at3); u.Digest != at6 {
		t.Errorf("the update leads to digest %d, want %d", u.Digest, at6)
	}
}

// The versions of two hosts may hash objects in different ways.
func TestAdoptedDigestIsKeptUpToDate(t *testing.T) {
	m := New[string]()
	m.Replace("k", []Change[string]{hashed("a", 2, 10)}, Moment{Revision: 3}, time.Time{})
	m.Adopt("k", Moment{Revision: 2}, 70)
	m.Adopt("k", Moment{Revision: 3}, 0)
	if m.Digest("k") == 70 || m.Digest("k") == 0 {
		t.Fatalf("digest %d of another moment, or none, was adopted", m.Digest("k"))
	}
	m.Adopt("k", Moment{Revision: 3}, 70)
	m.Apply("k", []Change[string]{hashed("b", 4, 5)}, Moment{Revision: 4}, time.Time{})
	if m.Digest("k") != 75 {
		t.Errorf("digest %d after a change, want 75", m.Digest("k"))
	}
}
