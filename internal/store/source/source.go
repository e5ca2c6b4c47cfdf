// Package source decides from whom a host learns what the platform's store holds:
// from the store itself, or from another host of its data centre that does.
//
// # Usage
//
//	c := source.NewController(source.Host{Name: "kgn-a-1", Power: 0.4}, link, bound, fresh)
//	go c.Run(ctx)
//	c.SetHosts(hosts)
//	if c.IsServing(now) { ... } // others may learn from this host
//
// Every host knows the same order of the hosts of its data centre, the strongest
// first, and follows the first one that follows the store. The first host has nobody
// before it and follows the store. Nobody is elected and nothing is agreed: when
// hosts see each other differently, more of them follow the store than need to.
//
// It answers three patterns: changes without end, for which each host that watches
// pays a call; a host that is cut off from the store while its neighbours are not;
// and a store that is down for all, where hosts join one after the other instead of
// all at once.
package source

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/rendezvous"
)

// Host is a host of the data centre.
type Host struct {
	Name    string
	Address string
	// Power orders hosts by what they can bear: the part of a core that they have.
	Power float64
}

// Standing is what a host said when it was asked for the store's content.
type Standing int

// The standings.
const (
	// Serving means that it follows the store and is up to date.
	Serving Standing = iota
	// Idle means that it is well but does not follow the store now.
	Idle
	// Unreachable means that it gave no answer.
	Unreachable
)

//go:generate ../../../.bin/enumer -type=Standing -transform=snake -output=standing_enumer.go

const (
	// unreachableTime is how long a host that gave no answer is not asked again.
	unreachableTime = 3 * time.Second
)

// Choice says which hosts are candidates.
type Choice int

// The choices.
const (
	// Better are the hosts before this one in the order.
	Better Choice = iota
	// Any are all other hosts, for one that is cut off from the store.
	Any
)

// Chooser knows the hosts of a data centre. It is safe for concurrent use.
type Chooser struct {
	self Host

	mu    sync.Mutex
	order []Host
	until map[string]time.Time
}

// New returns a Chooser of a host that knows no others.
func New(self Host) *Chooser { return &Chooser{self: self, until: map[string]time.Time{}} }

// SetHosts sets the other hosts of the data centre.
func (c *Chooser) SetHosts(hosts []Host) {
	order := slices.Clone(hosts)
	slices.SortFunc(order, compare)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order = order
	for name := range c.until {
		if !slices.ContainsFunc(order, func(h Host) bool { return h.Name == name }) {
			delete(c.until, name)
		}
	}
}

// Knows reports whether a name is that of a host of the data centre.
func (c *Chooser) Knows(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.order, func(h Host) bool { return h.Name == name })
}

// compare orders hosts: the stronger first, and equal ones by a hash, so that the
// work falls on other hosts where names are the same in each data centre.
func compare(a, b Host) int {
	return cmp.Or(
		cmp.Compare(level(b.Power), level(a.Power)),
		cmp.Compare(rendezvous.Weight("source", b.Name), rendezvous.Weight("source", a.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// level returns the power in doublings.
func level(power float64) int {
	if power <= 0 {
		return math.MinInt
	}
	return int(math.Round(math.Log2(power)))
}

// Candidates returns the hosts to ask in order, without those that gave no answer a
// moment ago.
func (c *Chooser) Candidates(now time.Time, choice Choice) []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Host
	for _, h := range c.order {
		if h.Name == c.self.Name || choice == Better && compare(h, c.self) > 0 {
			continue
		}
		if !now.Before(c.until[h.Name]) {
			list = append(list, h)
		}
	}
	return list
}

// Observe records what a host said.
func (c *Chooser) Observe(name string, s Standing, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == Unreachable {
		c.until[name] = now.Add(unreachableTime)
	} else {
		delete(c.until, name)
	}
}

// maxTurns bounds how many hosts before this one are waited for.
const maxTurns = 3

// Turn returns how long a host waits before it follows the store itself, when so
// many hosts before it are well and do not serve: each of them will, if it can, and
// needs one step for that.
func Turn(idle int, step time.Duration) time.Duration {
	return time.Duration(min(idle, maxTurns)) * step
}
