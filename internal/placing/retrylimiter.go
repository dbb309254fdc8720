package placing

import "time"

const (
	// slicesPerWindow divides the window of the retry budget.
	slicesPerWindow = 10
	// keptSlices slices are kept: the window, and one more, since it may begin
	// within a slice.
	keptSlices = slicesPerWindow + 1
)

// retryLimiter bounds how often requests are sent to a further server, over any
// window. Retries are counted over more than the window and requests over less,
// so that the bound holds wherever the window begins.
type retryLimiter struct {
	window time.Duration
	ratio  float64
	extra  float64
	// requests and retries count requests and retries by slices of the window.
	requests, retries [keptSlices]float64
	currentSlice        int64
	// blockedUntil is until when a predecessor's retries leave no room.
	blockedUntil time.Time
}

func (r *retryLimiter) advanceTo(now time.Time) int {
	slice := now.UnixNano() / (int64(r.window) / slicesPerWindow)
	if slice-r.currentSlice >= keptSlices || slice < r.currentSlice {
		setBack := slice < r.currentSlice
		r.requests, r.retries = [keptSlices]float64{}, [keptSlices]float64{}
		r.currentSlice = slice
		if setBack {
			r.retries[slice%keptSlices] = r.extra // what was counted is lost with the clock
		}
	}
	for r.currentSlice < slice {
		r.currentSlice++
		r.requests[r.currentSlice%keptSlices], r.retries[r.currentSlice%keptSlices] = 0, 0
	}
	return int(slice % keptSlices)
}

// assumeExtraSpent counts the extra retries as used at now, and allows none for half a
// window, in which a predecessor may have used its share.
func (r *retryLimiter) assumeExtraSpent(now time.Time) {
	r.retries[r.advanceTo(now)] += r.extra
	r.blockedUntil = now.Add(r.window / 2)
}

// countRequest counts a countRequest for the service.
func (r *retryLimiter) countRequest(now time.Time) {
	r.requests[r.advanceTo(now)]++
}

// tryRetry reports whether one more retry fits the budget, and takes it.
func (r *retryLimiter) tryRetry(now time.Time) bool {
	if now.Before(r.blockedUntil) {
		return false
	}
	at := r.advanceTo(now)
	oldest := (at + 1) % keptSlices
	var first, again float64
	for i := range r.requests {
		again += r.retries[i]
		if i != oldest {
			first += r.requests[i]
		}
	}
	if again+1 > r.ratio*first+r.extra {
		return false
	}
	r.retries[at]++
	return true
}
