package source

import (
	"fmt"
	"testing"
	"time"
)

func hosts(n int, power func(i int) float64) []Host {
	list := make([]Host, n)
	for i := range list {
		list[i] = Host{Name: fmt.Sprint("h", i), Power: power(i)}
	}
	return list
}

// follow lets every host ask until nothing changes, and returns how many follow the
// store.
func follow(list []Host, canReach func(name string) bool) (direct int) {
	now := time.Now()
	serving := map[string]bool{}
	for isStable := false; !isStable; {
		isStable = true
		for _, h := range list {
			c := New(h)
			c.SetHosts(list)
			isFollower := false
			for _, x := range c.Candidates(now, Better) {
				isFollower = isFollower || serving[x.Name]
			}
			serves := !isFollower && canReach(h.Name)
			isStable = isStable && serving[h.Name] == serves
			serving[h.Name] = serves
		}
	}
	for _, is := range serving {
		if is {
			direct++
		}
	}
	return direct
}

// The calls to the store grow with data centres, not with hosts.
func TestOneHostOfADataCentreFollowsTheStore(t *testing.T) {
	for _, n := range []int{1, 3, 14, 136} {
		list := hosts(n, func(int) float64 { return 0.4 })
		if direct := follow(list, func(string) bool { return true }); direct != 1 {
			t.Errorf("%d of %d hosts follow the store", direct, n)
		}
		// The store turns a third away.
		if direct := follow(list, func(name string) bool { return name[len(name)-1] > '3' }); n > 8 && direct != 1 {
			t.Errorf("%d of %d hosts follow the store that turns some away", direct, n)
		}
	}
}

func TestStrongHostsComeFirst(t *testing.T) {
	list := hosts(12, func(i int) float64 {
		if i == 7 || i == 9 {
			return 0.8
		}
		return 0.192
	})
	c := New(list[3])
	c.SetHosts(list)
	for i, h := range c.Candidates(time.Now(), Any) {
		if want := i < 2; (h.Power == 0.8) != want {
			t.Errorf("place %d: %+v", i, h)
		}
	}
}

// A host that lost power costs one wait in a while.
func TestUnreachableHostIsNotAskedAgainAtOnce(t *testing.T) {
	list := hosts(3, func(int) float64 { return 1 })
	c := New(Host{Name: "x", Power: 0.1})
	c.SetHosts(list)
	now := time.Now()
	c.Observe("h1", Unreachable, now)
	if n := len(c.Candidates(now.Add(time.Second), Better)); n != 2 {
		t.Errorf("%d candidates", n)
	}
	if n := len(c.Candidates(now.Add(unreachableTime), Better)); n != 3 {
		t.Errorf("%d candidates later", n)
	}
	c.Observe("h1", Idle, now)
	if n := len(c.Candidates(now, Better)); n != 3 {
		t.Errorf("%d candidates after an answer", n)
	}
}

// While the store is down for all, hosts join it one after the other.
func TestTurnsGrowWithTheWellHostsBefore(t *testing.T) {
	step := 100 * time.Millisecond
	for idle, want := range []time.Duration{0, step, 2 * step, 3 * step, 3 * step} {
		if got := Turn(idle, step); got != want {
			t.Errorf("%d: %s, want %s", idle, got, want)
		}
	}
}
