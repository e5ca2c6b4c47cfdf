// Package source decides from which source a host learns the content of the platform's
// store: from the store itself, or from another host of its data centre that follows the
// store.
//
// # Usage
//
//	c := source.NewController(source.Host{Name: "kgn-a-1", Power: 0.4}, transport, bound, maxAge)
//	go c.Run(ctx)
//	c.SetHosts(hosts)
//	if c.IsServing(now) { ... } // other hosts may learn from this one
//
// A host follows the store when it lists the store's objects and watches them for
// changes. All hosts rank the hosts of their data centre in the same order, by power
// (their share of a CPU core), with the strongest first. Each host learns from the
// highest-ranked host that follows the store. The host that ranks first follows the
// store itself. There is no election: while hosts disagree about which of them can serve,
// more hosts than necessary may follow the store.
//
// The package handles three cases. In a steady stream of changes, each change costs one
// call for every host that watches the store, so few hosts should watch it. A host may be
// cut off from the store while other hosts are not. In an outage of the store for all
// hosts, the hosts start to follow the store one after the other instead of all at once.
package source

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/rendezvous"
)

// Host holds the name, the address and the power of a host of the data centre.
type Host struct {
	Name    string
	Address string
	// Power is the share of a CPU core that the host has. Hosts with more power rank
	// higher.
	Power float64
}

// Standing says whether a host that was asked for the store's content can serve it.
type Standing int

// The standings.
const (
	// Serving means that the host follows the store and is up to date.
	Serving Standing = iota
	// Idle means that the host answers but cannot serve: it does not follow the store, or
	// the store has not answered it recently.
	Idle
	// Unreachable means that the host did not answer.
	Unreachable
)

//go:generate ../../../.bin/enumer -type=Standing -transform=snake -output=standing_enumer.go

const (
	// unreachableBackoff is the time for which a host that did not answer is not asked
	// again.
	unreachableBackoff = 3 * time.Second
)

// Scope selects the hosts from which this host may learn the store's content.
type Scope int

// The scopes.
const (
	// HigherRanked selects the hosts that rank higher than this host.
	HigherRanked Scope = iota
	// AllHosts selects all other hosts. It applies while this host is cut off from the
	// store.
	AllHosts
)

// Ranking ranks the hosts of a data centre and leaves out hosts that recently did not
// answer. It is safe for concurrent use.
type Ranking struct {
	self Host

	mu     sync.Mutex
	ranked []Host
	// retryAt holds, by name, the time from which a host that did not answer may be asked
	// again.
	retryAt map[string]time.Time
}

// NewRanking returns the Ranking of the host self, which does not know any other hosts
// yet.
func NewRanking(self Host) *Ranking { return &Ranking{self: self, retryAt: map[string]time.Time{}} }

// SetHosts sets the other hosts of the data centre.
func (r *Ranking) SetHosts(hosts []Host) {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, compareRank)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranked = ranked
	for name := range r.retryAt {
		if !slices.ContainsFunc(ranked, func(h Host) bool { return h.Name == name }) {
			delete(r.retryAt, name)
		}
	}
}

// HasHost reports whether the data centre has a host with the given name.
func (r *Ranking) HasHost(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.ranked, func(h Host) bool { return h.Name == name })
}

// compareRank orders hosts: those with more power first, and those of similar power by
// a hash of their names, so that the work falls on other hosts where names are the same
// in each data centre.
func compareRank(a, b Host) int {
	return cmp.Or(
		cmp.Compare(powerLevel(b.Power), powerLevel(a.Power)),
		cmp.Compare(rendezvous.Weight("source", b.Name), rendezvous.Weight("source", a.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// powerLevel returns the base-2 logarithm of a power, rounded to an integer, so that
// hosts of similar power have the same power level.
func powerLevel(power float64) int {
	if power <= 0 {
		return math.MinInt
	}
	return int(math.Round(math.Log2(power)))
}

// Candidates returns the hosts to ask for the store's content, ordered by rank. It
// leaves out hosts that failed to answer within the last unreachableBackoff.
func (r *Ranking) Candidates(now time.Time, scope Scope) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []Host
	for _, h := range r.ranked {
		if h.Name == r.self.Name || scope == HigherRanked && compareRank(h, r.self) > 0 {
			continue
		}
		if !now.Before(r.retryAt[h.Name]) {
			candidates = append(candidates, h)
		}
	}
	return candidates
}

// Observe records the standing that a request to the named host has shown.
func (r *Ranking) Observe(name string, s Standing, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == Unreachable {
		r.retryAt[name] = now.Add(unreachableBackoff)
	} else {
		delete(r.retryAt, name)
	}
}

const (
	// firstListStep is the part of FirstListDelay for each host of a higher rank.
	firstListStep = 8 * time.Millisecond
	// maxFirstListDelay is the maximum of FirstListDelay. It is short compared with the
	// time in which all hosts of a large system can list the store's objects.
	maxFirstListDelay = 250 * time.Millisecond
)

// FirstListDelay returns the time for which a host that has just started waits for another
// host's content before it lists the store's objects, once the hosts are known. The host
// that ranks first lists at once.
func FirstListDelay(higherRanked int) time.Duration {
	return min(time.Duration(higherRanked)*firstListStep, maxFirstListDelay)
}

// maxFollowSteps is the maximum delay that FollowDelay returns, in multiples of the step.
const maxFollowSteps = 3

// FollowDelay returns the time for which a host waits before it follows the store
// itself. idle is the number of higher-ranked hosts that answer but cannot serve at
// present. The delay is one step for each of these hosts, but at most maxFollowSteps
// steps, because an idle host that can reach the store needs one step to follow it.
func FollowDelay(idle int, step time.Duration) time.Duration {
	return time.Duration(min(idle, maxFollowSteps)) * step
}
