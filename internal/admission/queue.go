package admission

import (
	"container/heap"
	"time"
)

// queue is a heap of waiters in the order in which they are served. The goroutine of the
// dispatcher owns it.
type queue struct {
	waiters []*waiter
	next    uint64
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *queue) Len() int           { return len(q.waiters) }
func (q *queue) Less(i, j int) bool { return q.waiters[i].before(q.waiters[j]) }
func (q *queue) Swap(i, j int)      { q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i] }
func (q *queue) Push(x any)         { q.waiters = append(q.waiters, x.(*waiter)) }

func (q *queue) Pop() any {
	last := len(q.waiters) - 1
	w := q.waiters[last]
	q.waiters[last] = nil
	q.waiters = q.waiters[:last]
	return w
}

// addAll adds a stack of arrivals, given by its newest waiter, oldest first.
func (q *queue) addAll(newest *waiter) {
	for w := reverse(newest); w != nil; {
		following := w.next
		w.next = nil
		q.add(w)
		w = following
	}
}

func (q *queue) add(w *waiter) {
	w.sequence = q.next
	q.next++
	heap.Push(q, w)
}

// top returns the waiter that is served next, or nil. It removes waiters that have left or
// whose deadline has passed.
func (q *queue) top(now time.Time) *waiter {
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		if w.isWaiting(now) {
			return w
		}
		heap.Pop(q)
	}
	return nil
}

// compact removes waiters that have left, so that they do not accumulate while the server
// is busy.
func (q *queue) compact() {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if w.state.Load() == waiterQueued {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	heap.Init(q)
}

func reverse(newest *waiter) *waiter {
	var oldest *waiter
	for newest != nil {
		following := newest.next
		newest.next = oldest
		oldest = newest
		newest = following
	}
	return oldest
}
