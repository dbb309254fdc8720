package placing

import (
	"sort"
	"time"
)

// queue holds waiting attempts by priority. Within a priority those that were promised a
// place come first; otherwise the order is that of arrival.
type queue []*queuedAttempt

func (q *queue) insert(w *queuedAttempt) {
	at := sort.Search(len(*q), func(i int) bool { return w.before((*q)[i]) })
	*q = append(*q, nil)
	copy((*q)[at+1:], (*q)[at:])
	(*q)[at] = w
}

// countAhead returns the number of attempts that would be served before a new one.
func (q queue) countAhead(w *queuedAttempt) int {
	return sort.Search(len(q), func(i int) bool { return w.before(q[i]) })
}

// filter removes the attempts for which keep returns false.
func (q *queue) filter(keep func(*queuedAttempt) bool) {
	kept := (*q)[:0]
	for _, w := range *q {
		if keep(w) {
			kept = append(kept, w)
		}
	}
	clear((*q)[len(kept):])
	*q = kept
}

// nextIndex returns the index of the attempt to serve next, given the service time
// in seconds: of those for which may returns true the first that would end before its
// soft deadline, or else the first, or -1 if there is none.
func (q queue) nextIndex(now time.Time, serviceTime float64, may func(*queuedAttempt) bool) int {
	first := -1
	for i, w := range q {
		if !may(w) {
			continue
		}
		if w.meetsSoftDeadline(now, serviceTime) {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// countLate counts the attempts that would miss their soft deadline if they took
// the given seconds from now on.
func (q queue) countLate(now time.Time, need float64) int {
	n := 0
	for _, w := range q {
		if !w.meetsSoftDeadline(now, need) {
			n++
		}
	}
	return n
}

func (q *queue) removeAt(i int) {
	*q = append((*q)[:i], (*q)[i+1:]...)
}
