package placing

import "time"

// repeatBuckets divides the window of the retry budget.
const repeatBuckets = 10

// repeats bounds how often requests are sent to a further server, over a sliding window.
type repeats struct {
	window time.Duration
	ratio  float64
	extra  float64
	// first and again count arrivals by slices of the window.
	first, again [repeatBuckets]float64
	slice        int64
}

func (r *repeats) advance(now time.Time) int {
	slice := now.UnixNano() / (int64(r.window) / repeatBuckets)
	if slice-r.slice >= repeatBuckets {
		r.first, r.again = [repeatBuckets]float64{}, [repeatBuckets]float64{}
		r.slice = slice
	}
	for r.slice < slice {
		r.slice++
		r.first[r.slice%repeatBuckets], r.again[r.slice%repeatBuckets] = 0, 0
	}
	return int(slice % repeatBuckets)
}

// request counts a request for the service.
func (r *repeats) request(now time.Time) {
	r.first[r.advance(now)]++
}

// allow reports whether one more retry fits the budget, and takes it.
func (r *repeats) allow(now time.Time) bool {
	at := r.advance(now)
	var first, again float64
	for i := range r.first {
		first += r.first[i]
		again += r.again[i]
	}
	if again+1 > r.ratio*first+r.extra {
		return false
	}
	r.again[at]++
	return true
}
