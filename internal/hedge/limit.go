package hedge

import "time"

// Limit limits the hedges of a service, over all instances, to a share of its requests
// within the window that ends with each hedge. Hedges are counted over slightly more than the
// window and requests over slightly less. It is not safe for concurrent use: the scheduler's
// goroutine owns it.
type Limit struct {
	window time.Duration
	share  float64
	// requests and hedges hold the counts of each time slice, as ring buffers.
	requests, hedges [keptSlices]float64
	currentSlice     int64
	blockedUntil     time.Time
}

// NewLimit returns a limit without requests. With a share of 0 it allows nothing.
func NewLimit(window time.Duration, share float64) Limit {
	return Limit{window: window, share: share}
}

// Block allows no hedges for one window after now: the hedges of an earlier holder are
// unknown, and the requests that allowed them count no more by then.
func (l *Limit) Block(now time.Time) {
	l.blockedUntil = now.Add(l.window)
}

// CountRequest counts a first request for the service.
func (l *Limit) CountRequest(now time.Time) {
	if l.share > 0 {
		l.requests[l.advanceTo(now)]++
	}
}

// Allows reports whether one more hedge is within the limit.
func (l *Limit) Allows(now time.Time) bool {
	if l.share <= 0 {
		return false
	}
	at := l.advanceTo(now)
	if now.Before(l.blockedUntil) {
		return false
	}
	oldest := (at + 1) % keptSlices
	var requests, hedges float64
	for i := range l.requests {
		hedges += l.hedges[i]
		if i != oldest {
			requests += l.requests[i]
		}
	}
	return hedges+1 <= l.share*requests
}

// CountHedge counts a hedge.
func (l *Limit) CountHedge(now time.Time) {
	l.hedges[l.advanceTo(now)]++
}

// advanceTo clears the slices between the current one and that of now, and returns the index
// of the latter. If the clock was set back, the earlier counts are lost.
func (l *Limit) advanceTo(now time.Time) int {
	slice := now.UnixNano() / (int64(l.window) / slicesPerWindow)
	if slice < l.currentSlice {
		l.Block(now)
	}
	if slice-l.currentSlice >= keptSlices || slice < l.currentSlice {
		l.requests, l.hedges = [keptSlices]float64{}, [keptSlices]float64{}
		l.currentSlice = slice
	}
	for l.currentSlice < slice {
		l.currentSlice++
		l.requests[l.currentSlice%keptSlices], l.hedges[l.currentSlice%keptSlices] = 0, 0
	}
	return int(slice % keptSlices)
}
