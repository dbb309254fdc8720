package callerhttp

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// evictShare is the part of the connections, as a divisor, that is closed at a time when a
// listener is full, so that not each new connection looks at all others.
const evictShare = 16

// States of a connection. One that has ended by itself must not count as evicted.
const (
	connOpen int32 = iota
	connEvicted
	connRemoved
)

// errClosedForOthers is the cause with which the requests of a connection are cancelled that
// is closed in favour of a new one.
var errClosedForOthers = errors.New("the listener had as many connections as it may have, and this one waited for its caller for the longest")

// makeRoom reports whether another connection may be opened. If there are too many, it closes
// those that have waited for their callers for the longest. A connection that waits for a
// server is never closed.
func (s *Server) makeRoom() bool {
	if s.MaxConnections == 0 || s.connCount.Load()-s.evicted.Load() < int64(s.MaxConnections) {
		return true
	}
	var waiting []evictable
	s.conns.Range(func(key, _ any) bool {
		if c := key.(*conn); c.state.Load() == connOpen && c.waitsForCaller() {
			waiting = append(waiting, evictable{conn: c, idle: c.holding.Idle()})
		}
		return true
	})
	if s.OnCloseForOthers != nil {
		s.OnCloseForOthers()
	}
	slices.SortFunc(waiting, func(a, b evictable) int { return cmp.Compare(b.idle, a.idle) })
	for _, w := range waiting[:min(len(waiting), 1+s.MaxConnections/evictShare)] {
		if w.conn.state.CompareAndSwap(connOpen, connEvicted) {
			s.evicted.Add(1)
			w.conn.end(errClosedForOthers)
		}
	}
	return len(waiting) > 0
}
