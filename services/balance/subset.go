package balance

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/godwithatch/godwithatch/modules/rendezvous"
	"github.com/godwithatch/godwithatch/services/table"
)

// candidate is a host in the order of a server's subset.
type candidate struct {
	host    Host
	foreign bool
	weight  uint64
}

// before reports whether c comes earlier: hosts of the server's DataCentre
// first, each part by descending weight.
func (c candidate) before(o candidate) int {
	if c.foreign != o.foreign {
		if o.foreign {
			return -1
		}
		return 1
	}
	if d := cmp.Compare(o.weight, c.weight); d != 0 {
		return d
	}
	return cmp.Compare(c.host.id, o.host.id)
}

func newCandidate(u *table.Upstream, h Host) candidate {
	return candidate{host: h, foreign: h.dc != u.DataCentre(), weight: rendezvous.Weight(u.ID(), h.id)}
}

// subsets keeps the ordered subset of each server. When hosts come and go it
// changes just the subsets that they belong to, since ordering all hosts anew
// for every server costs seconds at the size of a large deployment.
type subsets struct {
	length int
	hosts  map[string]Host
	orders map[string][]candidate
}

// update brings the subsets in line with the live hosts.
func (s *subsets) update(hosts []Host, servers map[string]*table.Upstream) {
	next := lo.SliceToMap(hosts, func(h Host) (string, Host) { return h.id, h })
	var added []Host
	gone := map[string]bool{}
	for id, h := range next {
		if s.hosts[id] != h {
			added = append(added, h)
		}
	}
	for id, h := range s.hosts {
		if next[id] != h {
			gone[id] = true
		}
	}
	s.hosts = next
	for id := range s.orders {
		if servers[id] == nil {
			delete(s.orders, id)
		}
	}
	if s.orders == nil {
		s.orders = map[string][]candidate{}
	}
	for id, u := range servers {
		s.orders[id] = s.updateOne(u, s.orders[id], hosts, added, gone)
	}
}

func (s *subsets) updateOne(u *table.Upstream, order []candidate, hosts, added []Host, gone map[string]bool) []candidate {
	if order == nil || slices.ContainsFunc(order, func(c candidate) bool { return gone[c.host.id] }) {
		return s.compute(u, hosts)
	}
	for _, h := range added {
		order = s.insert(order, newCandidate(u, h))
	}
	return order
}

// insert adds a candidate if it belongs into the subset. The order given is not
// modified, since views may still use it.
func (s *subsets) insert(order []candidate, c candidate) []candidate {
	at, _ := slices.BinarySearchFunc(order, c, candidate.before)
	if s.length > 0 && at >= s.length {
		return order
	}
	grown := slices.Insert(slices.Clone(order), at, c)
	return s.cut(grown)
}

func (s *subsets) compute(u *table.Upstream, hosts []Host) []candidate {
	order := make([]candidate, len(hosts))
	for i, h := range hosts {
		order[i] = newCandidate(u, h)
	}
	slices.SortFunc(order, candidate.before)
	return slices.Clone(s.cut(order))
}

func (s *subsets) cut(order []candidate) []candidate {
	if s.length > 0 && s.length < len(order) {
		return order[:s.length]
	}
	return order
}

// order returns the hosts that may talk to a server, the first ones first.
func (s *subsets) order(server string) []Host {
	return lo.Map(s.orders[server], func(c candidate, _ int) Host { return c.host })
}
