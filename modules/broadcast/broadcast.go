// Package broadcast queues updates that are piggybacked on gossip messages.
//
// # Usage
//
// Each update has a key. A newer update with the same key replaces the older update, and
// the newer update's count of transmissions starts at zero. Take returns the updates that
// have been sent the fewest times, and removes an update from the queue once it has been
// sent often enough to spread among the given number of hosts:
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
// that one host sends an update. This number therefore grows with the logarithm of the
// number of hosts.
const retransmitFactor = 3

type queuedUpdate[K comparable, V any] struct {
	key   K
	value V
	sends int
}

// Queue holds the updates that are still to be sent, by key.
type Queue[K comparable, V any] struct {
	mu      sync.Mutex
	updates map[K]*queuedUpdate[K, V]
}

// Put adds an update to the queue, or replaces the queued update with the same key.
func (q *Queue[K, V]) Put(key K, value V) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.updates == nil {
		q.updates = map[K]*queuedUpdate[K, V]{}
	}
	q.updates[key] = &queuedUpdate[K, V]{key: key, value: value}
}

// Take returns at most limit updates to piggyback on one message and counts them as sent.
// hosts is the number of hosts among which the updates spread. It determines how many
// times each update is sent.
func (q *Queue[K, V]) Take(limit, hosts int) []V {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.updates) == 0 {
		return nil
	}
	list := make([]*queuedUpdate[K, V], 0, len(q.updates))
	for _, it := range q.updates {
		list = append(list, it)
	}
	slices.SortFunc(list, func(a, b *queuedUpdate[K, V]) int { return cmp.Compare(a.sends, b.sends) })
	list = list[:min(limit, len(list))]
	maxSends := retransmitFactor * bits.Len(uint(hosts))
	values := make([]V, len(list))
	for i, it := range list {
		values[i] = it.value
		it.sends++
		if it.sends >= maxSends {
			delete(q.updates, it.key)
		}
	}
	return values
}

// Len returns the number of updates in the queue.
func (q *Queue[K, V]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.updates)
}
