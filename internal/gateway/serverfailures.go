package gateway

import (
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// serverFailures remembers which servers took no request of this instance, so that one
// without a holder does not send them each further request: a server that refuses or resets
// connections, or whose address belongs to another one, does so at once and would seem to
// be free, and one that is overloaded by all instances together does not recover. It is safe
// for concurrent use.
type serverFailures struct {
	// servers holds the failures by server name, as *failureCount.
	servers sync.Map
}

// record counts the end of an attempt.
func (f *serverFailures) record(now time.Time, completion placing.Completion, keyed bool) {
	switch completion.Outcome {
	case placing.Answered:
		if _, known := f.servers.Load(completion.Server); known {
			f.servers.Delete(completion.Server)
		}
	case placing.Misdirected:
		if !keyed { // else it may own other keys
			f.add(now, completion.Server)
		}
	case placing.Unreached, placing.Lost, placing.Shed:
		f.add(now, completion.Server)
	}
}

func (f *serverFailures) add(now time.Time, server string) {
	c, known := f.servers.Load(server)
	if !known {
		c, _ = f.servers.LoadOrStore(server, &failureCount{})
	}
	count := c.(*failureCount)
	count.count.Add(1)
	count.lastAt.Store(now.UnixNano())
}

// blocks reports whether the server gets no request at now. After a pause, which grows with
// the failures, single requests find out whether it takes some again.
func (f *serverFailures) blocks(now time.Time, server string) bool {
	c, known := f.servers.Load(server)
	if !known {
		return false
	}
	failures := c.(*failureCount)
	last := failures.lastAt.Load()
	if failures.inBackoff(now, last) {
		return true
	}
	return !failures.lastAt.CompareAndSwap(last, now.UnixNano()) // another request finds out
}

// inBackoff reports what blocks would, but leaves the next request after a pause to others.
func (f *serverFailures) inBackoff(now time.Time, server string) bool {
	c, known := f.servers.Load(server)
	return known && c.(*failureCount).inBackoff(now, c.(*failureCount).lastAt.Load())
}
