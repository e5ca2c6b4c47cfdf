// Package broadcast queues updates that spread by being attached to messages.
//
// # Usage
//
// Each update has a key; a newer one under the same key replaces it and starts
// again. Take returns the updates that were sent least often, and drops each
// after it was sent often enough for the number of hosts:
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

// retransmitFactor is how many times the logarithm of the number of hosts an
// update is sent by one host.
const retransmitFactor = 3

type item[K comparable, V any] struct {
	key   K
	value V
	sent  int
}

// Queue holds updates by key.
type Queue[K comparable, V any] struct {
	mu    sync.Mutex
	items map[K]*item[K, V]
}

// Put adds an update or replaces the one under the same key.
func (q *Queue[K, V]) Put(key K, value V) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.items == nil {
		q.items = map[K]*item[K, V]{}
	}
	q.items[key] = &item[K, V]{key: key, value: value}
}

// Take returns at most limit updates to attach to one message among a number of
// hosts.
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
	slices.SortFunc(list, func(a, b *item[K, V]) int { return cmp.Compare(a.sent, b.sent) })
	list = list[:min(limit, len(list))]
	enough := retransmitFactor * bits.Len(uint(hosts))
	values := make([]V, len(list))
	for i, it := range list {
		values[i] = it.value
		it.sent++
		if it.sent >= enough {
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
