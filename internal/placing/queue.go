package placing

import (
	"sort"
	"time"
)

// queue holds waiting attempts by priority. Within a priority teams are served in turn, and
// attempts without a team in order of arrival after those that were promised a place.
type queue struct {
	waiting []*queuedAttempt
	clock   fairClock
}

// insert queues the attempt, and reports whether it comes before others.
func (q *queue) insert(w *queuedAttempt) bool {
	at := q.countAhead(w)
	q.clock.add(w)
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = w
	return at+1 < len(q.waiting)
}

// countAhead returns the number of attempts that would be served before a new one, and sets
// the tag of the new one.
func (q *queue) countAhead(w *queuedAttempt) int {
	w.tag = q.clock.tag(w)
	return sort.Search(len(q.waiting), func(i int) bool { return w.before(q.waiting[i]) })
}

// filter removes the attempts for which keep returns false.
func (q *queue) filter(keep func(*queuedAttempt) bool) {
	if len(q.waiting) == 0 {
		return
	}
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if keep(w) {
			kept = append(kept, w)
		} else {
			q.clock.remove(w)
		}
	}
	clear(q.waiting[len(kept):])
	q.setWaiting(kept)
}

// nextIndex returns the index of the attempt to serve next, given the service time
// in seconds: of those for which may returns true the first that would end before its
// soft deadline, or else the first, or -1 if there is none.
func (q *queue) nextIndex(now time.Time, serviceTime float64, may func(*queuedAttempt) bool) int {
	first := -1
	for i, w := range q.waiting {
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
func (q *queue) countLate(now time.Time, need float64) int {
	n := 0
	for _, w := range q.waiting {
		if !w.meetsSoftDeadline(now, need) {
			n++
		}
	}
	return n
}

// serveAt removes the attempt with the index, which is assigned to a server.
func (q *queue) serveAt(i int) {
	q.clock.serve(q.waiting[i])
	q.setWaiting(append(q.waiting[:i], q.waiting[i+1:]...))
}

func (q *queue) setWaiting(waiting []*queuedAttempt) {
	if q.waiting = waiting; len(waiting) == 0 {
		q.clock.reset()
	}
}
