package source

import (
	"fmt"
	"testing"
	"time"
)

func newHosts(n int, power func(i int) float64) []Host {
	list := make([]Host, n)
	for i := range list {
		list[i] = Host{Name: fmt.Sprint("h", i), Power: power(i)}
	}
	return list
}

// countFollowers lets every host decide whether to follow the store, repeats this until
// no decision changes, and returns the number of hosts that then follow the store.
func countFollowers(list []Host, canReach func(name string) bool) (count int) {
	now := time.Now()
	serving := map[string]bool{}
	for isStable := false; !isStable; {
		isStable = true
		for _, h := range list {
			r := NewRanking(h)
			r.SetHosts(list)
			hasServingHost := false
			for _, x := range r.Candidates(now, HigherRanked) {
				hasServingHost = hasServingHost || serving[x.Name]
			}
			isServing := !hasServingHost && canReach(h.Name)
			isStable = isStable && serving[h.Name] == isServing
			serving[h.Name] = isServing
		}
	}
	for _, follows := range serving {
		if follows {
			count++
		}
	}
	return count
}

// All hosts of a data centre know each other. Exactly one of them must follow the store,
// so that the calls to the store grow with the number of data centres and not with the
// number of hosts.
func TestOneHostPerDataCentreFollowsTheStore(t *testing.T) {
	for _, n := range []int{1, 3, 14, 136} {
		list := newHosts(n, func(int) float64 { return 0.4 })
		if count := countFollowers(list, func(string) bool { return true }); count != 1 {
			t.Errorf("%d of %d hosts follow the store, want 1", count, n)
		}
		// The store rejects some of the hosts.
		if count := countFollowers(list, func(name string) bool { return name[len(name)-1] > '3' }); n > 8 && count != 1 {
			t.Errorf("%d of %d hosts follow a store that rejects some hosts, want 1", count, n)
		}
	}
}

func TestStrongestHostsRankFirst(t *testing.T) {
	list := newHosts(12, func(i int) float64 {
		if i == 7 || i == 9 {
			return 0.8
		}
		return 0.192
	})
	r := NewRanking(list[3])
	r.SetHosts(list)
	for i, h := range r.Candidates(time.Now(), AllHosts) {
		if want := i < 2; (h.Power == 0.8) != want {
			t.Errorf("rank %d: got host %+v", i, h)
		}
	}
}

// A host does not answer. For the time unreachableBackoff, it must not be a candidate, so
// that this host waits for its answer only once in that time.
func TestUnreachableHostIsNoCandidateDuringBackoff(t *testing.T) {
	list := newHosts(3, func(int) float64 { return 1 })
	r := NewRanking(Host{Name: "x", Power: 0.1})
	r.SetHosts(list)
	now := time.Now()
	r.Observe("h1", Unreachable, now)
	if n := len(r.Candidates(now.Add(time.Second), HigherRanked)); n != 2 {
		t.Errorf("%d candidates during the backoff, want 2", n)
	}
	if n := len(r.Candidates(now.Add(unreachableBackoff), HigherRanked)); n != 3 {
		t.Errorf("%d candidates after the backoff, want 3", n)
	}
	r.Observe("h1", Idle, now)
	if n := len(r.Candidates(now, HigherRanked)); n != 3 {
		t.Errorf("%d candidates after the host answered, want 3", n)
	}
}

// The store is down for all hosts. The hosts must start to follow it one after the other,
// so a host's delay must grow with the number of higher-ranked hosts that answer but
// cannot serve.
func TestFollowDelayGrowsWithIdleHostsRankedBefore(t *testing.T) {
	step := 100 * time.Millisecond
	for idle, want := range []time.Duration{0, step, 2 * step, 3 * step, 3 * step} {
		if got := FollowDelay(idle, step); got != want {
			t.Errorf("FollowDelay(%d) = %s, want %s", idle, got, want)
		}
	}
}
