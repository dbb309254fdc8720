package placing

import "sort"

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
