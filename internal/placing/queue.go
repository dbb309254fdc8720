package placing

import (
	"sort"
	"time"
)

// queue holds waiting requests: the higher priority first, then the earlier.
type queue []*waiting

func (q *queue) add(w *waiting) {
	at := sort.Search(len(*q), func(i int) bool { return (*q)[i].Priority > w.Priority })
	*q = append(*q, nil)
	copy((*q)[at+1:], (*q)[at:])
	(*q)[at] = w
}

// ahead returns how many requests go before one of the given priority.
func (q queue) ahead(priority int) int {
	return sort.Search(len(q), func(i int) bool { return q[i].Priority > priority })
}

// keep removes the requests for which f returns false.
func (q *queue) keep(f func(*waiting) bool) {
	kept := (*q)[:0]
	for _, w := range *q {
		if f(w) {
			kept = append(kept, w)
		}
	}
	clear((*q)[len(kept):])
	*q = kept
}

// next returns the index of the request to serve now if it takes the given
// seconds: the first that is answered by its target, or else the first.
func (q queue) next(now time.Time, took float64) int {
	for i, w := range q {
		if w.onTime(now, took) {
			return i
		}
	}
	return 0
}

// late counts the requests that will miss their target.
func (q queue) late(now time.Time, took float64) int {
	n := 0
	for _, w := range q {
		if !w.onTime(now, took) {
			n++
		}
	}
	return n
}

// remove takes the request at index i out.
func (q *queue) remove(i int) {
	*q = append((*q)[:i], (*q)[i+1:]...)
}
