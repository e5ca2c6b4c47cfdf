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

func names(u Update[string]) []string {
	var list []string
	for _, c := range u.Changes {
		list = append(list, c.Name)
	}
	slices.Sort(list)
	return list
}

func TestReaderGetsWhatItLacks(t *testing.T) {
	m := New[string]()
	m.Replace("servers", []Change[string]{change("a", 3), change("b", 5)}, 7, false)
	m.Apply("servers", []Change[string]{change("c", 9)}, 9, false)
	for _, test := range []struct {
		from  int64
		whole bool
		names []string
	}{{0, true, []string{"a", "b", "c"}}, {5, true, []string{"a", "b", "c"}}, {7, false, []string{"c"}}, {9, false, nil}, {12, false, nil}} {
		u := m.Since("servers", test.from)
		if u.Whole != test.whole || !slices.Equal(names(u), test.names) {
			t.Errorf("from %d: %+v", test.from, u)
		}
	}
	if !m.Since("config", 0).IsEmpty() {
		t.Error("an unknown kind told something")
	}
}

// A host that switches to a source that is behind learns nothing old.
func TestOlderNewsIsIgnored(t *testing.T) {
	m := New[string]()
	m.Replace("servers", nil, 20, false)
	if m.Replace("servers", []Change[string]{change("a", 3)}, 19, false) {
		t.Error("an older list was taken in")
	}
	if news := m.Apply("servers", []Change[string]{change("b", 15), change("c", 21)}, 21, false); len(news) != 1 || news[0].Name != "c" {
		t.Errorf("news %v", news)
	}
}

func TestFarReaderGetsAllOnceChangesAreDropped(t *testing.T) {
	m := New[string]()
	m.Replace("servers", nil, 1, false)
	for r := int64(2); r < 3*maxChanges; r++ {
		m.Apply("servers", []Change[string]{change("a", r)}, r, false)
	}
	if u := m.Since("servers", 5); !u.Whole || len(u.Changes) != 1 {
		t.Errorf("%+v", u)
	}
	if u := m.Since("servers", 3*maxChanges-2); u.Whole || len(u.Changes) != 1 {
		t.Errorf("%+v", u)
	}
}

func TestReadersHearOfAnOutageForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New[string]()
		m.Replace("servers", nil, 30, true)
		if !m.Since("servers", 10).AfterOutage {
			t.Error("not told")
		}
		time.Sleep(membership.ReregistrationGrace + time.Millisecond)
		if m.Since("servers", 10).AfterOutage {
			t.Error("told for too long")
		}
	})
}

// A reader that asks now and then, of two mirrors that follow the same store at
// their own pace, ends up with what the store holds.
func TestReaderOfTwoMirrorsEndsWithTheStoresObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Change[string]
		revision := int64(1)
		mirrors := []*Mirror[string]{New[string](), New[string]()}
		reader := New[string]()
		at := []int64{0, 0}
		sync := func(i int) {
			if at[i] == 0 || rapid.Bool().Draw(t, "list") {
				mirrors[i].Replace("k", held(history), revision, false)
			} else {
				var missed []Change[string]
				for _, c := range history {
					if c.Revision > at[i] {
						missed = append(missed, c)
					}
				}
				mirrors[i].Apply("k", missed, revision, false)
			}
			at[i] = revision
		}
		read := func(i int) {
			u := mirrors[i].Since("k", reader.Revision("k"))
			if u.Whole {
				reader.Replace("k", u.Changes, u.Revision, u.AfterOutage)
			} else {
				reader.Apply("k", u.Changes, u.Revision, u.AfterOutage)
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
		got, want := reader.Since("k", 0), held(history)
		if reader.Revision("k") != revision || len(got.Changes) != len(want) {
			t.Fatalf("at %d of %d: %v, want %v", reader.Revision("k"), revision, got.Changes, want)
		}
		for _, c := range got.Changes {
			if !slices.Contains(want, c) {
				t.Fatalf("%v is not in %v", c, want)
			}
		}
	})
}

// held returns the objects after a history.
func held(history []Change[string]) []Change[string] {
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
