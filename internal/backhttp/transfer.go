package backhttp

import (
	"syscall"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

var errCutByContext = errors.New("the request ended before its server had taken the whole body, although it had answered")

// transfer is the way of a request with a body to its server, from the first byte of the request
// to the acknowledgement of the last one. A server may answer at any time in between.
type transfer struct {
	conn    *conn
	request *Request
	holding *membudget.Holding
	watch   *windowWatch
	// written is closed once the write has ended, with the result.
	written chan struct{}
	result  writeResult
	// settled is closed once nothing of an accepted request is due any more.
	settled chan struct{}
}

func newTransfer(c *conn, request *Request, holding *membudget.Holding) *transfer {
	return &transfer{conn: c, request: request, holding: holding, written: make(chan struct{}), settled: make(chan struct{})}
}

// start begins the transfer. The write of a short request has ended when it returns.
func (t *transfer) start() {
	t.watch = startWindowWatch(t.conn)
	if t.request.isLong() {
		go t.write()
		return
	}
	t.write()
}

func (t *transfer) write() {
	defer close(t.written)
	if t.request.Remainder != nil {
		t.holding.Charge(membudget.Uploads, copyBufferBytes)
		defer t.holding.Return(membudget.Uploads, copyBufferBytes)
	}
	t.result = t.conn.write(t.request)
}

// await waits until the exchange can be concluded: until the write has ended, or until there is a
// response that may be passed on before.
func (t *transfer) await(x *exchange) {
	select {
	case <-t.written:
	case r := <-x.done:
		x.done <- r
		// The caller of a streamed request learns of a success only once its whole body has been
		// taken, unless the response is too long to be kept until then.
		needsCaller := t.request.Remainder != nil
		if r.err != nil || !r.response.accepts() || needsCaller && r.response.Remainder == nil {
			<-t.written
		}
	}
}

// writeResult returns the result of the write. One that is still in progress has no error yet.
func (t *transfer) writeResult() writeResult {
	select {
	case <-t.written:
		return t.result
	default:
		return writeResult{at: time.Now()}
	}
}

// isDelivered reports whether the server has acknowledged the whole request.
func (t *transfer) isDelivered() bool {
	select {
	case <-t.written:
		return t.result.err == nil && t.conn.undelivered() == 0
	default:
		return false
	}
}

// end waits for the end of a write that has been interrupted or has failed, and ends the watch.
// It reports whether that had taken over, so that the connection must not be used again.
func (t *transfer) end() (tookOver bool) {
	<-t.written
	return t.watch.stop()
}

// missing returns how many bytes of the request the server has not acknowledged, once the write
// has ended. It does not know how many of a streamed body have not been read.
func (t *transfer) missing() int64 {
	return max(0, int64(len(t.request.Head)+len(t.request.Body))-t.result.bytes) + int64(t.conn.undelivered())
}

// isEndedByPeer reports whether a write has failed because the server has ended the connection.
func isEndedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
