// Package rendezvous orders a set of hosts for a key by rendezvous hashing (highest
// random weight).
//
// # Usage
//
// Every process that knows the same hosts computes the same order. When a host is lost,
// only the keys of that host are assigned to other hosts:
//
//	order := rendezvous.Order("server-7", hosts, func(h Host) string { return h.ID() })
//
// Rank returns the position of one host without building the order.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a host for a key. The host with the highest weight comes
// first.
func Weight(key, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// Order returns the hosts sorted by descending weight for key. Hosts of equal weight are
// sorted by id.
func Order[T any](key string, hosts []T, id func(T) string) []T {
	type weighted struct {
		host   T
		weight uint64
	}
	list := make([]weighted, len(hosts))
	for i, h := range hosts {
		list[i] = weighted{h, Weight(key, id(h))}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(id(a.host), id(b.host))
	})
	order := make([]T, len(hosts))
	for i, w := range list {
		order[i] = w.host
	}
	return order
}

// Rank returns the number of hosts that come before host in the order for key. The first
// host in the order has rank 0.
func Rank(key, host string, hosts []string) int {
	own := Weight(key, host)
	rank := 0
	for _, h := range hosts {
		if h == host {
			continue
		}
		w := Weight(key, h)
		if w > own || (w == own && h < host) {
			rank++
		}
	}
	return rank
}
