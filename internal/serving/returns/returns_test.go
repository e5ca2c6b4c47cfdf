package returns

import (
	"testing"
	"time"
)

func TestTrackerRecognisesRetries(t *testing.T) {
	var r Tracker
	now := time.Unix(0, 0)
	check := func(route string, remaining, want time.Duration) {
		t.Helper()
		if got := r.Waited(route, remaining, now); got != want {
			t.Fatalf("%s with %s remaining: waited %s, want %s", route, remaining, got, want)
		}
	}
	check("sweep", 1200*time.Millisecond, 0)
	check("sweep", 1195*time.Millisecond, 0)
	check("sweep", 900*time.Millisecond, 300*time.Millisecond)
	check("peek", 800*time.Millisecond, 0)
	now = now.Add(15 * time.Second)
	check("sweep", 1200*time.Millisecond, 0)
	// The clients now wait for a shorter time in total. The longest remaining time from
	// before this change is forgotten after two windows.
	now = now.Add(25 * time.Second)
	check("sweep", 600*time.Millisecond, 600*time.Millisecond)
	now = now.Add(11 * time.Second)
	check("sweep", 600*time.Millisecond, 0)
}
