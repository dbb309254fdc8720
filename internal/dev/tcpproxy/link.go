package tcpproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// chunkBytes and maxHeldChunks limit what a connection holds in each direction; the
	// sender then blocks.
	chunkBytes    = 32 << 10
	maxHeldChunks = 64
)

// link is one proxied connection.
type link struct {
	client, server *net.TCPConn
	// source is the name of the client's origin, or "".
	source    string
	current   currentFault
	closed    chan struct{}
	closeOnce sync.Once
}

func newLink(client, server *net.TCPConn, source string, fault Fault) *link {
	l := &link{client: client, server: server, source: source, closed: make(chan struct{})}
	l.setFault(fault)
	return l
}

// setFault replaces the fault of the link.
func (l *link) setFault(fault Fault) {
	l.current.set(fault)
	if fault.Kind == FaultReset {
		time.AfterFunc(fault.Delay, l.reset)
	}
}

// reset resets both connections.
func (l *link) reset() {
	l.closeOnce.Do(func() {
		close(l.closed)
		for _, c := range []*net.TCPConn{l.client, l.server} {
			_ = c.SetLinger(0) // fails only on a connection that is closed already
			_ = c.Close()
		}
	})
}

// run copies both directions until both have ended.
func (l *link) run() {
	var directions sync.WaitGroup
	directions.Go(func() { l.copy(l.server, l.client, FaultSilentRequests) })
	directions.Go(func() { l.copy(l.client, l.server, FaultSilentResponses) })
	directions.Wait()
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.client.Close()
		_ = l.server.Close()
	})
}

// copy passes on what arrives from source, as late as the fault of the link demands.
func (l *link) copy(target, source *net.TCPConn, silence FaultKind) {
	held := make(chan chunk, maxHeldChunks)
	var sourceReset atomic.Bool
	go l.read(source, held, &sourceReset)
	for c := range held {
		if !l.await(c.at, silence) {
			return
		}
		if sourceReset.Load() {
			l.reset()
			return
		}
		if _, err := target.Write(c.content); err != nil {
			l.reset()
			return
		}
		if c.end {
			_ = target.CloseWrite() // fails only on a connection that is closed already
			return
		}
	}
}

// read puts what arrives from source into held, up to and including its end. When the
// sender resets the connection, the held bytes are lost.
func (l *link) read(source *net.TCPConn, held chan<- chunk, sourceReset *atomic.Bool) {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := source.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			sourceReset.Store(true)
			n = 0
		}
		select {
		case held <- chunk{content: buffer[:n], end: err != nil, at: time.Now()}:
		case <-l.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// await waits until a chunk that was read at the given time may be passed on. It
// returns false if the link is closed first.
func (l *link) await(read time.Time, silence FaultKind) bool {
	for {
		state := l.current.get()
		var due <-chan time.Time
		switch state.fault.Kind {
		case FaultSilent, silence:
		case FaultReset:
			if state.fault.Delay > 0 {
				return true
			}
			// Nothing passes before a reset without delay.
		case FaultDelay:
			wait := time.Until(read.Add(state.fault.Delay))
			if wait <= 0 {
				return true
			}
			due = time.After(wait)
		default:
			return true
		}
		select {
		case <-due:
			return true
		case <-state.changed:
		case <-l.closed:
			return false
		}
	}
}
