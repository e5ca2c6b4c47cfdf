package stalewatch

import (
	"slices"
	"testing"
)

// The watch of the kind servers starts at the moment at which the store drops its
// history of changes. This watch never delivers a change, while the watch of the kind
// config continues (jeroa-find, mix, seed 28023156183: DRAIN). The second check must
// return the kind servers, and the third check must return no kind.
func TestStalledWatchIsListedAgain(t *testing.T) {
	var d Detector
	d.RecordList("servers", 207)
	d.RecordList("config", 207)
	d.RecordChange(213)
	d.RecordProgress("config", 213)
	if kinds, _ := d.Check(213); kinds != nil {
		t.Fatalf("the first check after a gap restarted %v, want none", kinds)
	}
	if kinds, _ := d.Check(215); !slices.Equal(kinds, []string{"servers"}) {
		t.Fatalf("restarted %v, want the watch of servers", kinds)
	}
	if kinds, _ := d.Check(215); kinds != nil {
		t.Fatalf("the next check restarted %v again, want none", kinds)
	}
}

func TestDeliveredChangesRestartNoWatch(t *testing.T) {
	var d Detector
	d.RecordList("servers", 10)
	d.RecordList("config", 12)
	for r := int64(13); r < 200; r++ {
		if r%7 == 0 {
			d.RecordChange(r)
			d.RecordProgress("config", r)
		} else {
			d.RecordChange(r)
			d.RecordProgress("servers", r)
		}
		if kinds, _ := d.Check(r); kinds != nil {
			t.Fatalf("revision %d: restarted %v, want none", r, kinds)
		}
	}
	if len(d.delivered) > 1 {
		t.Fatalf("%d revisions are still tracked, want at most 1", len(d.delivered))
	}
}

// The change of an object of a kind that this host does not watch looks like a missing
// revision. It must cause only one new list of the watched kind.
func TestChangeOfUnfollowedKindRestartsWatchOnce(t *testing.T) {
	var d Detector
	d.RecordList("servers", 10)
	restarts := 0
	for range 20 {
		kinds, _ := d.Check(11)
		restarts += len(kinds)
		for _, kind := range kinds {
			d.RecordList(kind, 11)
		}
	}
	if restarts != 1 {
		t.Fatalf("%d restarts, want 1", restarts)
	}
}

// The watch of the kind config hears nothing while servers change all the time, so that at each
// check the newest change is one that the watch of servers has not delivered yet (CONFIG).
func TestStalledWatchIsFoundBesideSteadyChanges(t *testing.T) {
	var d Detector
	d.RecordList("servers", 10)
	d.RecordList("config", 10)
	// Revision 11 is a change of config.
	for r := int64(13); r < 40; r += 2 {
		d.RecordChange(r - 1)
		d.RecordProgress("servers", r-1)
		kinds, _ := d.Check(r)
		if slices.Contains(kinds, "config") {
			if r > 15 {
				t.Errorf("the watch of config was restarted at revision %d, want 15 at the latest", r)
			}
			return
		}
		d.RecordChange(r)
	}
	t.Error("the watch of config was not restarted")
}

// A check finds the kinds behind while one of them is being listed. That list was sent before the
// missing change, and the watch after it hears nothing either (DRAIN).
func TestKindIsReturnedAgainIfItsListIsTooOld(t *testing.T) {
	var d Detector
	d.RecordList("servers", 10)
	d.RecordList("config", 10)
	d.Check(11)
	if kinds, _ := d.Check(11); len(kinds) != 2 {
		t.Fatalf("restarted %v, want both kinds", kinds)
	}
	d.RecordList("config", 11)
	d.RecordList("servers", 10)
	d.Check(11)
	if kinds, _ := d.Check(11); !slices.Equal(kinds, []string{"servers"}) {
		t.Errorf("restarted %v, want servers, whose list did not reach the missing revision", kinds)
	}
}
