package connbound

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts at most a number of connections at a time. Beyond it, each new connection
// closes the one that has been idle for the longest: a client that is served in a moment gets
// its answer although others hold connections open.
type Listener struct {
	net.Listener
	max     int64
	onClose func()
	start   time.Time
	// conns is the set of the *Conn that count, and count is their number.
	conns sync.Map
	count atomic.Int64
}

// Bound returns a listener with at most max connections. onClose is called when one is closed
// in favour of a new one; it must not block.
func Bound(listener net.Listener, max int, onClose func()) *Listener {
	return &Listener{Listener: listener, max: int64(max), onClose: onClose, start: time.Now()}
}

// Accept implements net.Listener. It is called by one goroutine.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for l.count.Load() >= l.max && l.closeLongestIdle() {
	}
	c := &Conn{Conn: raw, listener: l}
	c.active()
	c.counted.Store(true)
	l.conns.Store(c, nil)
	l.count.Add(1)
	return c, nil
}

// closeLongestIdle closes a connection and reports whether there was one.
func (l *Listener) closeLongestIdle() bool {
	var oldest *Conn
	l.conns.Range(func(key, _ any) bool {
		if c := key.(*Conn); oldest == nil || c.activeAt.Load() < oldest.activeAt.Load() {
			oldest = c
		}
		return true
	})
	if oldest == nil {
		return false
	}
	_ = oldest.Close() // it is given up in any case
	l.onClose()
	return true
}
