package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// shareLimiter limits the requests that one instance places on servers with a rate limit
// while it has no holder. All instances start at the same time when a holder is lost, so
// each begins at a random point of its interval, and begins again so after an interval in
// which it sent nothing: unused requests do not add up. It is safe for concurrent use.
type shareLimiter struct {
	// next holds when the next request may be sent, in Unix nanoseconds, as *atomic.Int64.
	next sync.Map // by fleet.Incarnation
}

// take reports whether one more request may be sent to the server at now, at a rate of
// perSecond above 0.
func (l *shareLimiter) take(now time.Time, server fleet.Incarnation, perSecond float64) bool {
	interval := time.Duration(float64(time.Second) / perSecond)
	start := func() int64 { return now.Add(rand.N(interval) + 1).UnixNano() }
	n, known := l.next.Load(server)
	if !known {
		fresh := new(atomic.Int64)
		fresh.Store(start())
		n, _ = l.next.LoadOrStore(server, fresh)
	}
	next := n.(*atomic.Int64)
	at := next.Load()
	switch since := now.Sub(time.Unix(0, at)); {
	case since < 0:
		return false
	case since > interval: // not used for a while
		next.CompareAndSwap(at, start()) // if it fails, another request has set it
		return false
	}
	return next.CompareAndSwap(at, now.Add(interval).UnixNano())
}

// hasTurn reports whether take would succeed, without a change.
func (l *shareLimiter) hasTurn(now time.Time, server fleet.Incarnation, perSecond float64) bool {
	n, known := l.next.Load(server)
	if !known {
		return false
	}
	since := now.Sub(time.Unix(0, n.(*atomic.Int64).Load()))
	return since >= 0 && since <= time.Duration(float64(time.Second)/perSecond)
}
