package servers

import (
	"net"
	"sync"
)

// listener tracks the connections of one incarnation, so that a crash can reset them.
type listener struct {
	net.Listener
	limit int

	mu     sync.Mutex
	conns  map[*conn]bool
	closed bool
}

func newListener(inner net.Listener, limit int) *listener {
	return &listener{Listener: inner, limit: limit, conns: map[*conn]bool{}}
}

// Accept returns the next connection; those above the limit are reset.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{TCPConn: accepted.(*net.TCPConn), listener: l}
		if l.add(c) {
			return c, nil
		}
		c.reset()
	}
}

func (l *listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.conns) >= l.limit {
		return false
	}
	l.conns[c] = true
	return true
}

// resetAll stops listening and resets every connection.
func (l *listener) resetAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	conns := l.conns
	l.conns = map[*conn]bool{}
	l.closed = true
	l.mu.Unlock()
	for c := range conns {
		c.reset()
	}
}
