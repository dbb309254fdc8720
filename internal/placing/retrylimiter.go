package placing

import "time"

const (
	// slicesPerWindow is the number of time slices per window of the retry budget.
	slicesPerWindow = 10
	// keptSlices covers the window and one more slice, since a window may begin
	// within a slice.
	keptSlices = slicesPerWindow + 1
)

// retryLimiter enforces the retry budget over any window. Retries are counted over
// slightly more than the window and requests over slightly less, so that the limit
// holds wherever the window begins.
type retryLimiter struct {
	window time.Duration
	ratio  float64
	extra  float64
	// requests and retries hold the counts of each time slice, as ring buffers.
	requests, retries [keptSlices]float64
	currentSlice      int64
	// blockedUntil is until when no retries are allowed because those of an earlier
	// holder may have used up the budget.
	blockedUntil time.Time
	// hedgeCredit is how many hedges the requests since then allow: a part of the ratio for each
	// request, saved up to that part of extra. So hedges are within their part of the budget in
	// each window, also one that ends later and in which earlier requests have dropped out.
	hedgeCredit float64
}

// advanceTo clears the slices between the current one and that of now, and returns
// the index of the latter.
func (r *retryLimiter) advanceTo(now time.Time) int {
	slice := now.UnixNano() / (int64(r.window) / slicesPerWindow)
	if slice-r.currentSlice >= keptSlices || slice < r.currentSlice {
		clockSetBack := slice < r.currentSlice
		r.requests, r.retries = [keptSlices]float64{}, [keptSlices]float64{}
		r.currentSlice = slice
		if clockSetBack {
			r.retries[slice%keptSlices] = r.extra // the earlier counts are lost: assume that extra was used
		}
	}
	for r.currentSlice < slice {
		r.currentSlice++
		r.requests[r.currentSlice%keptSlices], r.retries[r.currentSlice%keptSlices] = 0, 0
	}
	return int(slice % keptSlices)
}

// assumeExtraSpent counts the extra retries as used at now, and allows no retries
// for half a window, for those that an earlier holder may have allowed.
func (r *retryLimiter) assumeExtraSpent(now time.Time) {
	r.retries[r.advanceTo(now)] += r.extra
	r.blockedUntil = now.Add(r.window / 2)
}

// countRequest counts a new request for the service.
func (r *retryLimiter) countRequest(now time.Time) {
	r.requests[r.advanceTo(now)]++
	r.earnHedgeCredit()
}

// tryRetry counts one more retry if the budget allows it, and reports whether it does.
func (r *retryLimiter) tryRetry(now time.Time) bool {
	if now.Before(r.blockedUntil) {
		return false
	}
	at := r.advanceTo(now)
	oldest := (at + 1) % keptSlices
	var requests, retries float64
	for i := range r.requests {
		retries += r.retries[i]
		if i != oldest {
			requests += r.requests[i]
		}
	}
	if retries+1 > r.ratio*requests+r.extra {
		return false
	}
	r.retries[at]++
	r.spendHedgeCredit()
	return true
}
