package mirror

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
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

// lossyStore is a store that may return to an earlier content.
type lossyStore struct {
	revision int64
	objects  map[string]Change[string]
	// writes is the number of writes, including lost ones; it tells objects apart.
	writes uint64
}

func (s *lossyStore) list() []Change[string] {
	var list []Change[string]
	for _, c := range s.objects {
		list = append(list, c)
	}
	return list
}

// Two mirrors follow a store that loses changes and gives their revisions out again, and a
// reader reads from both. After a last list and read of one mirror, the reader must hold
// exactly the objects of the store, whatever the revision at which it was before.
func TestReaderConvergesToStoreThatLosesChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &lossyStore{revision: 1, objects: map[string]Change[string]{}}
		saved := lossyStore{revision: 1, objects: map[string]Change[string]{}}
		mirrors := []*Mirror[string]{New[string](), New[string]()}
		reader := New[string]()
		// list lists a kind. An answer behind what is known begins an era.
		list := func(m *Mirror[string], known Moment) {
			at := Moment{Era: max(known.Era, m.Moment("k").Era), Revision: s.revision}
			if known.Era == at.Era && known.Revision > at.Revision || m.Moment("k").Compare(at) > 0 {
				at.Era++
			}
			m.Replace("k", s.list(), at, time.Time{})
		}
		read := func(m *Mirror[string]) {
			from := reader.Moment("k")
			if from.Compare(m.Moment("k")) > 0 {
				list(m, from)
			}
			u := m.Since("k", from, reader.Digest("k"))
			if u.IsSnapshot {
				reader.Replace("k", u.Changes, u.At, u.OutageEnd)
			} else {
				reader.Apply("k", u.Changes, u.At, u.OutageEnd)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m := mirrors[rapid.IntRange(0, 1).Draw(t, "mirror")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				s.revision++
				s.writes++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				if delete(s.objects, name); rapid.Bool().Draw(t, "exists") {
					s.objects[name] = hashed(name, s.revision, xxhash.Sum64String(fmt.Sprint(name, s.revision, s.writes)))
				}
			case 2:
				saved = lossyStore{revision: s.revision, objects: maps.Clone(s.objects)}
			case 3:
				s.revision, s.objects = saved.revision, maps.Clone(saved.objects)
			case 4:
				list(m, Moment{})
			default:
				read(m)
			}
		}
		list(mirrors[0], Moment{})
		read(mirrors[0])
		got := reader.Since("k", Moment{}, 0)
		if len(got.Changes) != len(s.objects) {
			t.Fatalf("reader holds %v, want %v", got.Changes, s.objects)
		}
		for _, c := range got.Changes {
			if s.objects[c.Name] != c {
				t.Fatalf("reader holds %v, want %v", got.Changes, s.objects)
			}
		}
	})
}
