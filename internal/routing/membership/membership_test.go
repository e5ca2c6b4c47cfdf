package membership

import (
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func entry(id string, sequence int64) Entry {
	return Entry{ID: id, Service: "a", Address: "10.0.0.1:80", Born: 1, Sequence: sequence}
}

func ids(t *Table) string {
	s := ""
	for _, e := range t.Entries() {
		s += e.ID
	}
	return s
}

func TestRemovalTakesEffectAtOnce(t *testing.T) {
	var table Table
	table.Replace([]Entry{entry("a", 1), entry("b", 1)}, start)
	table.Remove("a", start.Add(time.Minute))
	if got := ids(&table); got != "b" {
		t.Fatalf("got %q", got)
	}
}

// While the store is down all entries lapse; on its return the servers write
// theirs again within about two seconds.
func TestEntriesThatLapsedComeBack(t *testing.T) {
	var table Table
	table.Replace([]Entry{entry("a", 1), entry("b", 1), entry("c", 1)}, start)
	table.StoreLost()
	back := start.Add(10 * time.Second)
	table.StoreBack(back)
	table.Replace([]Entry{entry("a", 4)}, back)
	table.Remove("b", back.Add(100*time.Millisecond))
	if got := ids(&table); got != "abc" {
		t.Fatalf("got %q right after the return", got)
	}
	table.Put(entry("b", 5))
	if table.Expire(back.Add(1900 * time.Millisecond)) {
		t.Fatal("dropped an entry before two seconds had passed")
	}
	if !table.Expire(back.Add(ReturnTime)) {
		t.Fatal("nothing dropped after two seconds")
	}
	if got := ids(&table); got != "ab" {
		t.Fatalf("got %q after two seconds, want the ones that came back", got)
	}
}

func TestNoEntryIsDroppedDuringAnOutage(t *testing.T) {
	var table Table
	table.Replace([]Entry{entry("a", 1)}, start)
	table.StoreLost()
	table.Remove("a", start.Add(time.Hour))
	if table.Expire(start.Add(2 * time.Hour)); ids(&table) != "a" {
		t.Fatal("dropped an entry while the store was away")
	}
}

func TestOlderEntriesAreIgnored(t *testing.T) {
	var table Table
	table.Put(entry("a", 5))
	old := entry("a", 4)
	old.Draining = true
	if table.Put(old) {
		t.Fatal("took in an older sequence")
	}
	reborn := Entry{ID: "a", Service: "a", Address: "10.0.0.9:80", Born: 2, Sequence: 1}
	if !table.Put(reborn) {
		t.Fatal("ignored a server that started again under its ID")
	}
	if table.Put(entry("a", 9)) {
		t.Fatal("took in what the server said before its new start")
	}
}

// A list names what a server said once more, with the same time left of its cold start.
func TestSameEntryReadAgainIsNotColdForLonger(t *testing.T) {
	var table Table
	cold := entry("a", 5)
	cold.ColdUntil = start.Add(3 * time.Second)
	table.Put(cold)
	again := cold
	again.ColdUntil = start.Add(5 * time.Second)
	if table.Replace([]Entry{again}, start.Add(2*time.Second)) {
		t.Error("the same entry counts as a change")
	}
	if got := table.Entries()[0].ColdUntil; got != cold.ColdUntil {
		t.Errorf("cold until %s, want %s", got, cold.ColdUntil)
	}
	newer := entry("a", 6)
	newer.ColdUntil = start.Add(9 * time.Second)
	if !table.Put(newer) || table.Entries()[0].ColdUntil != newer.ColdUntil {
		t.Error("ignored a server that says later that it is cold")
	}
}
