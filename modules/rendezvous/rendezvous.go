// Package rendezvous orders a set of nodes for a key by highest random weight.
//
// # Usage
//
// Every process that knows the same nodes computes the same order, and the
// loss of one node moves only the keys that it held:
//
//	order := rendezvous.Order("server-7", hosts, func(h Host) string { return h.ID() })
//
// Rank returns the place of one node without building the order.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a node for a key. The highest comes first.
func Weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// Order returns nodes sorted by descending weight for key.
func Order[T any](key string, nodes []T, id func(T) string) []T {
	type weighted struct {
		node   T
		weight uint64
	}
	list := make([]weighted, len(nodes))
	for i, n := range nodes {
		list[i] = weighted{n, Weight(key, id(n))}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(id(a.node), id(b.node))
	})
	out := make([]T, len(nodes))
	for i, w := range list {
		out[i] = w.node
	}
	return out
}

// Rank returns how many nodes come before node for key.
func Rank(key, node string, nodes []string) int {
	own := Weight(key, node)
	rank := 0
	for _, n := range nodes {
		if n == node {
			continue
		}
		w := Weight(key, n)
		if w > own || (w == own && n < node) {
			rank++
		}
	}
	return rank
}
