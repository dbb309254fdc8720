package callerhttp

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// body is the body of a request. It signals the connection when the handler no longer
// reads it, since the next request follows it on the connection.
type body struct {
	io.Reader
	net net.Conn
	// holding is that of the connection, and taken what the buffered body takes of it. taken
	// belongs to the handler.
	holding *membudget.Holding
	taken   int64
	// waits counts the reads and writes that wait for the caller.
	waits *atomic.Int32
	once  sync.Once
	done  chan struct{}
	// complete is set when the body has been read to its end.
	complete bool
	// unread is how much of the declared length has not been read, or negative if no length
	// was declared.
	unread atomic.Int64
	// sendContinue, when set, is called before the first read. It asks a caller that sent
	// "Expect: 100-continue" for the body.
	sendContinue func()
	// asked is set once sendContinue has been called.
	asked atomic.Bool
}

func newBody(request *http.Request, conn net.Conn, holding *membudget.Holding, waits *atomic.Int32, sendContinue func()) *body {
	b := &body{Reader: request.Body, net: conn, holding: holding, waits: waits, done: make(chan struct{}), sendContinue: sendContinue}
	b.unread.Store(request.ContentLength)
	return b
}

func (b *body) Read(p []byte) (int, error) {
	if b.sendContinue != nil && !b.asked.Swap(true) {
		b.sendContinue()
	}
	b.waits.Add(1)
	n, err := b.Reader.Read(p)
	b.waits.Add(-1)
	if n > 0 {
		b.holding.Progress()
	}
	b.unread.Add(-int64(n))
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// TakeMemory takes n bytes for a buffer of the body, which are returned after the request,
// and reports whether it got them. The handler calls it.
func (b *body) TakeMemory(n int64) bool {
	take := b.holding.Take
	if b.taken+n <= smallUploadBytes {
		take = b.holding.TakeSmall
	}
	if !take(membudget.Uploads, n) {
		return false
	}
	b.taken += n
	return true
}

// Close signals that the rest of the body will not be read.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(complete bool) {
	b.once.Do(func() {
		b.complete = complete
		close(b.done)
	})
}

// drainable reports whether what has not been read may be discarded, so that another
// request can follow. A caller that was not asked for its body may leave it out, and the
// next request would be taken for it.
func (b *body) drainable() bool {
	return (b.sendContinue == nil || b.asked.Load()) && b.unread.Load() <= bodyDrainBytes
}

// SetReadDeadline sets the deadline for reads of the body. It has no effect after the
// end of the body, because the connection then waits for its next request.
func (b *body) SetReadDeadline(t time.Time) error {
	select {
	case <-b.done:
		return nil
	default:
		return b.net.SetReadDeadline(t)
	}
}
