package callerhttp

import "time"

// closeWait decides how long a connection that sends nothing more waits for its caller to
// close it. It does no I/O.
//
// Only the caller's own close tells that it has read the last response: an acknowledgement
// tells what its kernel has received. A connection that is closed before is reset by whatever
// the caller sends next, and the reset destroys what has not been acknowledged and, on some
// systems, what has not been read. So the wait ends without the caller's close only when
//   - the caller has acknowledged everything and has had lingerLimit to read it,
//   - it has acknowledged nothing for stallTimeout, or
//   - it has taken longer than a caller at slowestPace takes, however it spreads that time.
type closeWait struct {
	delivery
	limit time.Time
}

// newCloseWait begins a wait at now, with untaken bytes that are not acknowledged, behind a
// response that was written at lastResponse.
func newCloseWait(now, lastResponse time.Time, untaken int) closeWait {
	w := closeWait{
		delivery: delivery{untaken: untaken, changedAt: now},
		limit:    now.Add(stallTimeout + time.Duration(untaken)*time.Second/slowestPace),
	}
	if untaken == 0 {
		w.changedAt = lastResponse
	}
	return w
}

// end returns when the wait ends, by what is known so far.
func (w *closeWait) end() time.Time {
	if w.untaken == 0 {
		return w.changedAt.Add(lingerLimit)
	}
	return earlier(w.changedAt.Add(stallTimeout), w.limit)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
