package balance

import (
	"container/list"
	"sync"
	"sync/atomic"

	"github.com/godwithatch/godwithatch/services/table"
)

// priorities lists the priorities of routes from the one that is served first to the one
// that is served last.
var priorities = [...]table.Priority{table.High, table.Normal, table.Low}

// WaitQueue holds the requests that wait for a server of one shard, ordered by priority
// and then by arrival. The request at the head stays there until it has found a server,
// so that no wake-up is lost. The zero value is an empty queue.
type WaitQueue struct {
	count atomic.Int32
	mu    sync.Mutex
	lists [len(priorities)]list.List
}

// Waiter is one request in a WaitQueue.
type Waiter struct {
	queue    *WaitQueue
	priority table.Priority
	element  *list.Element
	wake     chan struct{}
}

// Enter adds a request. The caller must call Leave on the result.
func (q *WaitQueue) Enter(p table.Priority) *Waiter {
	w := &Waiter{queue: q, priority: p, wake: make(chan struct{}, 1)}
	q.count.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	w.element = q.lists[p].PushBack(w)
	return w
}

// Woken returns a channel that receives a value when the request is at the head and a
// server may have capacity.
func (w *Waiter) Woken() <-chan struct{} { return w.wake }

// IsFirst reports whether the request is at the head of the queue.
func (w *Waiter) IsFirst() bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	return w.queue.first() == w
}

// Leave removes the request and wakes the request that is then at the head.
func (w *Waiter) Leave() {
	w.queue.mu.Lock()
	w.queue.lists[w.priority].Remove(w.element)
	w.queue.mu.Unlock()
	w.queue.count.Add(-1)
	w.queue.wakeFirst()
}

// Len returns the number of waiting requests.
func (q *WaitQueue) Len() int { return int(q.count.Load()) }

// first returns the request at the head of the queue, or nil. The caller holds mu.
func (q *WaitQueue) first() *Waiter {
	for _, p := range priorities {
		if e := q.lists[p].Front(); e != nil {
			return e.Value.(*Waiter)
		}
	}
	return nil
}

// wakeFirst wakes the request at the head of the queue. It takes no lock if the queue
// is empty.
func (q *WaitQueue) wakeFirst() {
	if q.count.Load() == 0 {
		return
	}
	q.mu.Lock()
	first := q.first()
	q.mu.Unlock()
	if first == nil {
		return
	}
	select {
	case first.wake <- struct{}{}:
	default:
	}
}
