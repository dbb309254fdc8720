package placing

import (
	"sort"
	"time"
)

// queue holds waiting requests: the higher priority first, then the earlier.
type queue []*queuedAttempt

func (q *queue) insert(w *queuedAttempt) {
	at := sort.Search(len(*q), func(i int) bool { return (*q)[i].Priority > w.Priority })
	*q = append(*q, nil)
	copy((*q)[at+1:], (*q)[at:])
	(*q)[at] = w
}

// countAhead returns how many requests go before one of the given priority.
func (q queue) countAhead(priority int) int {
	return sort.Search(len(q), func(i int) bool { return q[i].Priority > priority })
}

// filter removes the requests for which f returns false.
func (q *queue) filter(f func(*queuedAttempt) bool) {
	kept := (*q)[:0]
	for _, w := range *q {
		if f(w) {
			kept = append(kept, w)
		}
	}
	clear((*q)[len(kept):])
	*q = kept
}

// nextIndex returns the index of the request to serve now if it takes the given
// seconds: the first that is answered by its target, or else the first.
func (q queue) nextIndex(now time.Time, took float64) int {
	for i, w := range q {
		if w.meetsSoftDeadline(now, took) {
			return i
		}
	}
	return 0
}

// countLate counts the requests that will miss their target.
func (q queue) countLate(now time.Time, took float64) int {
	n := 0
	for _, w := range q {
		if !w.meetsSoftDeadline(now, took) {
			n++
		}
	}
	return n
}

// removeAt takes the request at index i out.
func (q *queue) removeAt(i int) {
	*q = append((*q)[:i], (*q)[i+1:]...)
}
