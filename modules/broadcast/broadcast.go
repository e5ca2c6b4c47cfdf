// Package broadcast queues updates that are piggybacked on gossip messages.
//
// # Usage
//
// Each update has a key. A newer update with the same key replaces the older one, and
// its count of transmissions starts at zero. Take returns the updates that have been
// sent the fewest times, and drops an update once it has been sent the number of times
// that is required for the number of hosts:
//
//	var q broadcast.Queue[string, Member]
//	q.Put(m.ID, m)
//	updates := q.Take(20, hostCount)
//
// The zero value is an empty queue. It is safe for concurrent use.
package broadcast

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
)

// retransmitFactor times the bit length of the number of hosts is the number of times
// that one host sends an update. The bit length grows with the logarithm of the number
// of hosts.
const retransmitFactor = 3

type item[K comparable, V any] struct {
	key   K
	value V
	sends int
}

// Queue holds the updates that are still to be sent, by key.
type Queue[K comparable, V any] struct {
	mu    sync.Mutex
	items map[K]*item[K, V]
}

// Put adds an update, or replaces the one with the same key.
func (q *Queue[K, V]) Put(key K, value V) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.items == nil {
		q.items = map[K]*item[K, V]{}
	}
	q.items[key] = &item[K, V]{key: key, value: value}
}

// Take returns at most limit updates to piggyback on one message and counts them as sent.
// hosts is the number of hosts among which the updates spread.
func (q *Queue[K, V]) Take(limit, hosts int) []V {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return nil
	}
	list := make([]*item[K, V], 0, len(q.items))
	for _, it := range q.items {
		list = append(list, it)
	}
	slices.SortFunc(list, func(a, b *item[K, V]) int { return cmp.Compare(a.sends, b.sends) })
	list = list[:min(limit, len(list))]
	maxSends := retransmitFactor * bits.Len(uint(hosts))
	values := make([]V, len(list))
	for i, it := range list {
		values[i] = it.value
		it.sends++
		if it.sends >= maxSends {
			delete(q.items, it.key)
		}
	}
	return values
}

// Len returns the number of updates in the queue.
func (q *Queue[K, V]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}
