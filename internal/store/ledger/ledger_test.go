package ledger

import (
	"slices"
	"testing"
)

// A watch of servers that was asked in the moment in which the store dropped its
// history stayed silent for good, while that of the configuration went on
// (jeroa-find, mix, seed 28023156183: DRAIN).
func TestDeafWatchIsRestarted(t *testing.T) {
	var l Ledger
	l.Reset("servers", 207)
	l.Reset("config", 207)
	l.Saw(213)
	l.Advance("config", 213)
	if kinds := l.Check(213); kinds != nil {
		t.Fatalf("restarted %v at the first sight of a gap", kinds)
	}
	if kinds := l.Check(215); !slices.Equal(kinds, []string{"servers"}) {
		t.Fatalf("restarted %v, want the watch of servers", kinds)
	}
	if kinds := l.Check(215); kinds != nil {
		t.Fatalf("restarted %v again at once", kinds)
	}
}

func TestChangesThatWereToldOfRestartNothing(t *testing.T) {
	var l Ledger
	l.Reset("servers", 10)
	l.Reset("config", 12)
	for r := int64(13); r < 200; r++ {
		if r%7 == 0 {
			l.Saw(r)
			l.Advance("config", r)
		} else {
			l.Saw(r)
			l.Advance("servers", r)
		}
		if kinds := l.Check(r); kinds != nil {
			t.Fatalf("revision %d: restarted %v", r, kinds)
		}
	}
	if len(l.seen) > 1 {
		t.Fatalf("%d revisions are kept", len(l.seen))
	}
}

// A change of a kind that nobody follows costs one restart and no more.
func TestForeignChangeCostsOneRestart(t *testing.T) {
	var l Ledger
	l.Reset("servers", 10)
	restarts := 0
	for range 20 {
		restarts += len(l.Check(11))
	}
	if restarts != 1 {
		t.Fatalf("%d restarts, want 1", restarts)
	}
}
