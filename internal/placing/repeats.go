package placing

import "time"

const (
	// slicesPerWindow divides the window of the retry budget.
	slicesPerWindow = 10
	// keptSlices slices are kept: the window, and one more, since it may begin
	// within a slice.
	keptSlices = slicesPerWindow + 1
)

// repeats bounds how often requests are sent to a further server, over any
// window. Retries are counted over more than the window and requests over less,
// so that the bound holds wherever the window begins.
type repeats struct {
	window time.Duration
	ratio  float64
	extra  float64
	// first and again count requests and retries by slices of the window.
	first, again [keptSlices]float64
	slice        int64
	// blockedUntil is until when a predecessor's retries leave no room.
	blockedUntil time.Time
}

func (r *repeats) advance(now time.Time) int {
	slice := now.UnixNano() / (int64(r.window) / slicesPerWindow)
	if slice-r.slice >= keptSlices || slice < r.slice {
		setBack := slice < r.slice
		r.first, r.again = [keptSlices]float64{}, [keptSlices]float64{}
		r.slice = slice
		if setBack {
			r.again[slice%keptSlices] = r.extra // what was counted is lost with the clock
		}
	}
	for r.slice < slice {
		r.slice++
		r.first[r.slice%keptSlices], r.again[r.slice%keptSlices] = 0, 0
	}
	return int(slice % keptSlices)
}

// spend counts the extra retries as used at now, and allows none for half a
// window, in which a predecessor may have used its share.
func (r *repeats) spend(now time.Time) {
	r.again[r.advance(now)] += r.extra
	r.blockedUntil = now.Add(r.window / 2)
}

// request counts a request for the service.
func (r *repeats) request(now time.Time) {
	r.first[r.advance(now)]++
}

// allow reports whether one more retry fits the budget, and takes it.
func (r *repeats) allow(now time.Time) bool {
	if now.Before(r.blockedUntil) {
		return false
	}
	at := r.advance(now)
	oldest := (at + 1) % keptSlices
	var first, again float64
	for i := range r.first {
		again += r.again[i]
		if i != oldest {
			first += r.first[i]
		}
	}
	if again+1 > r.ratio*first+r.extra {
		return false
	}
	r.again[at]++
	return true
}
