package mirror

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

func change(name string, revision int64) Change[string] {
	return Change[string]{Name: name, Revision: revision, Object: fmt.Sprint(name, revision)}
}

func changedNames(u Update[string]) []string {
	var list []string
	for _, c := range u.Changes {
		list = append(list, c.Name)
	}
	slices.Sort(list)
	return list
}

func TestSinceReturnsChangesAfterTheReadersRevision(t *testing.T) {
	m := New[string]()
	m.Replace("servers", []Change[string]{change("a", 3), change("b", 5)}, Moment{Revision: 7}, time.Time{})
	m.Apply("servers", []Change[string]{change("c", 9)}, Moment{Revision: 9}, time.Time{})
	for _, test := range []struct {
		from       int64
		isSnapshot bool
		names      []string
	}{{0, true, []string{"a", "b", "c"}}, {5, true, []string{"a", "b", "c"}}, {7, false, []string{"c"}}, {9, false, nil}, {12, false, nil}} {
		u := m.Since("servers", Moment{Revision: test.from}, 0)
		if u.IsSnapshot != test.isSnapshot || !slices.Equal(changedNames(u), test.names) {
			t.Errorf("update from revision %d is %+v", test.from, u)
		}
	}
	if !m.Since("config", Moment{}, 0).IsEmpty() {
		t.Error("the update for an unknown kind is not empty")
	}
}

// A host switches to a source that is behind the host's previous source. The objects
// that the host holds must not return to an older state.
func TestOlderListAndChangesAreIgnored(t *testing.T) {
	m := New[string]()
	m.Replace("servers", nil, Moment{Revision: 20}, time.Time{})
	if m.Replace("servers", []Change[string]{change("a", 3)}, Moment{Revision: 19}, time.Time{}) {
		t.Error("Replace accepted an older list")
	}
	if applied := m.Apply("servers", []Change[string]{change("b", 15), change("c", 21)}, Moment{Revision: 21}, time.Time{}); len(applied) != 1 || applied[0].Name != "c" {
		t.Errorf("Apply returned %v, want only the change of c", applied)
	}
}

func TestReaderFarBehindGetsAllObjects(t *testing.T) {
	m := New[string]()
	m.Replace("servers", nil, Moment{Revision: 1}, time.Time{})
	for r := int64(2); r < 3*maxChanges; r++ {
		m.Apply("servers", []Change[string]{change("a", r)}, Moment{Revision: r}, time.Time{})
	}
	if u := m.Since("servers", Moment{Revision: 5}, 0); !u.IsSnapshot || len(u.Changes) != 1 {
		t.Errorf("reader whose changes were dropped got %+v, want all objects", u)
	}
	if u := m.Since("servers", Moment{Revision: 3*maxChanges - 2}, 0); u.IsSnapshot || len(u.Changes) != 1 {
		t.Errorf("reader that is one change behind got %+v, want one change", u)
	}
}

func TestUpdateReportsOutageForLimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New[string]()
		end := time.Now()
		m.Replace("servers", nil, Moment{Revision: 30}, end)
		if got := m.Since("servers", Moment{Revision: 10}, 0).OutageEnd; !got.Equal(end) {
			t.Errorf("the update right after the outage reports its end at %s, want %s", got, end)
		}
		time.Sleep(membership.ReregistrationGrace / 2)
		m.Replace("servers", nil, Moment{Revision: 31}, time.Time{})
		m.Apply("servers", []Change[string]{change("a", 32)}, Moment{Revision: 32}, time.Time{})
		if got := m.Since("servers", Moment{Revision: 10}, 0).OutageEnd; !got.Equal(end) {
			t.Errorf("a later update reports the end at %s, want %s", got, end)
		}
		time.Sleep(membership.ReregistrationGrace/2 + time.Millisecond)
		if got := m.Since("servers", Moment{Revision: 10}, 0).OutageEnd; !got.IsZero() {
			t.Error("the update still reports the outage after the time limit")
		}
	})
}

// Two mirrors are updated from the same store at different times, and a reader reads
// from both of them at random times. After a last update and read of one mirror, the
// reader must hold exactly the objects of the store.
func TestReaderOfTwoMirrorsConvergesToStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Change[string]
		revision := int64(1)
		mirrors := []*Mirror[string]{New[string](), New[string]()}
		reader := New[string]()
		revisions := []int64{0, 0}
		sync := func(i int) {
			if revisions[i] == 0 || rapid.Bool().Draw(t, "list") {
				mirrors[i].Replace("k", objectsAfter(history), Moment{Revision: revision}, time.Time{})
			} else {
				var missed []Change[string]
				for _, c := range history {
					if c.Revision > revisions[i] {
						missed = append(missed, c)
					}
				}
				mirrors[i].Apply("k", missed, Moment{Revision: revision}, time.Time{})
			}
			revisions[i] = revision
		}
		read := func(i int) {
			u := mirrors[i].Since("k", reader.Moment("k"), 0)
			if u.IsSnapshot {
				reader.Replace("k", u.Changes, u.At, u.OutageEnd)
			} else {
				reader.Apply("k", u.Changes, u.At, u.OutageEnd)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch i := rapid.IntRange(0, 1).Draw(t, "mirror"); rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				revision++
				c := change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), revision)
				c.Deleted = rapid.Bool().Draw(t, "deleted")
				history = append(history, c)
			case 2:
				sync(i)
			default:
				read(i)
			}
		}
		sync(0)
		read(0)
		got, want := reader.Since("k", Moment{}, 0), objectsAfter(history)
		if reader.Revision("k") != revision || len(got.Changes) != len(want) {
			t.Fatalf("reader is at revision %d of %d with %v, want %v", reader.Revision("k"), revision, got.Changes, want)
		}
		for _, c := range got.Changes {
			if !slices.Contains(want, c) {
				t.Fatalf("reader holds %v, which is not in %v", c, want)
			}
		}
	})
}

// objectsAfter returns the objects that exist after a history of changes.
func objectsAfter(history []Change[string]) []Change[string] {
	last := map[string]Change[string]{}
	for _, c := range history {
		last[c.Name] = c
	}
	var list []Change[string]
	for _, c := range last {
		if !c.Deleted {
			list = append(list, c)
		}
	}
	return list
}

// The store goes back and gives revisions out again. What is of the former era changes
// nothing any more, and a reader of the former era gets all objects.
func TestLaterEraReplacesHigherRevision(t *testing.T) {
	m := New[string]()
	m.Replace("servers", []Change[string]{change("a", 90)}, Moment{0, 90}, time.Time{})
	if !m.Replace("servers", []Change[string]{change("a", 50)}, Moment{1, 60}, time.Time{}) {
		t.Fatal("the list of the later era was ignored")
	}
	if m.Replace("servers", nil, Moment{0, 95}, time.Time{}) {
		t.Error("a list of the former era was taken")
	}
	if applied := m.Apply("servers", []Change[string]{change("b", 95)}, Moment{0, 95}, time.Time{}); len(applied) > 0 {
		t.Errorf("changes of the former era were taken: %v", applied)
	}
	if u := m.Since("servers", Moment{0, 95}, 0); !u.IsSnapshot || len(u.Changes) != 1 || u.At != (Moment{1, 60}) {
		t.Errorf("a reader of the former era got %+v", u)
	}
	if u := m.Since("servers", Moment{2, 10}, 0); !u.IsEmpty() {
		t.Errorf("a reader of a later era got %+v", u)
	}
}
