package balance

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/godwithatch/godwithatch/modules/rendezvous"
	"github.com/godwithatch/godwithatch/services/table"
)

// subsetHost is one of the hosts that may send requests to a server, with the values that
// determine its position in the order.
type subsetHost struct {
	host     Host
	isRemote bool
	weight   uint64
}

// compare orders the hosts of the server's data centre before all others, and each of the
// two groups by descending rendezvous weight.
func (c subsetHost) compare(other subsetHost) int {
	if c.isRemote != other.isRemote {
		if other.isRemote {
			return -1
		}
		return 1
	}
	if d := cmp.Compare(other.weight, c.weight); d != 0 {
		return d
	}
	return cmp.Compare(c.host.id, other.host.id)
}

func newSubsetHost(u *table.Upstream, h Host) subsetHost {
	return subsetHost{host: h, isRemote: h.dataCentre != u.DataCentre(), weight: rendezvous.Weight(u.ID(), h.id)}
}

// subsets holds the subset of each server: the hosts that may send requests to it, in
// order. When hosts join or leave, only the subsets that this changes are updated,
// because ordering all hosts again for every server takes seconds in a large deployment.
type subsets struct {
	maxHosts int
	hosts    map[string]Host
	orders   map[string][]subsetHost
}

// update adapts the subsets to the live hosts and the configured servers.
func (s *subsets) update(hosts []Host, servers map[string]*table.Upstream) {
	next := lo.SliceToMap(hosts, func(h Host) (string, Host) { return h.id, h })
	var added []Host
	removed := map[string]bool{}
	for id, h := range next {
		if s.hosts[id] != h {
			added = append(added, h)
		}
	}
	for id, h := range s.hosts {
		if next[id] != h {
			removed[id] = true
		}
	}
	s.hosts = next
	for id := range s.orders {
		if servers[id] == nil {
			delete(s.orders, id)
		}
	}
	if s.orders == nil {
		s.orders = map[string][]subsetHost{}
	}
	for id, u := range servers {
		s.orders[id] = s.updateOrder(u, s.orders[id], hosts, added, removed)
	}
}

func (s *subsets) updateOrder(u *table.Upstream, order []subsetHost, hosts, added []Host, removed map[string]bool) []subsetHost {
	if order == nil || slices.ContainsFunc(order, func(c subsetHost) bool { return removed[c.host.id] }) {
		return s.compute(u, hosts)
	}
	for _, h := range added {
		order = s.insert(order, newSubsetHost(u, h))
	}
	return order
}

// insert returns the order with a host added, or the same order if the host's rank is
// beyond maxHosts. It does not modify the given order, since views may still use it.
func (s *subsets) insert(order []subsetHost, c subsetHost) []subsetHost {
	at, _ := slices.BinarySearchFunc(order, c, subsetHost.compare)
	if s.maxHosts > 0 && at >= s.maxHosts {
		return order
	}
	inserted := slices.Insert(slices.Clone(order), at, c)
	return s.truncate(inserted)
}

func (s *subsets) compute(u *table.Upstream, hosts []Host) []subsetHost {
	order := make([]subsetHost, len(hosts))
	for i, h := range hosts {
		order[i] = newSubsetHost(u, h)
	}
	slices.SortFunc(order, subsetHost.compare)
	return slices.Clone(s.truncate(order))
}

func (s *subsets) truncate(order []subsetHost) []subsetHost {
	if s.maxHosts > 0 && s.maxHosts < len(order) {
		return order[:s.maxHosts]
	}
	return order
}

// order returns the hosts that may send requests to a server, in ascending order of rank.
func (s *subsets) order(server string) []Host {
	return lo.Map(s.orders[server], func(c subsetHost, _ int) Host { return c.host })
}
