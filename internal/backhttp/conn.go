package backhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
	"peridotmoor.org/peridotmoor/internal/responsehead"
	"peridotmoor.org/peridotmoor/internal/sockopt"
)

var (
	errUnsolicitedBytes   = errors.New("the server sent bytes that belong to no request")
	errUnmatchedResponses = errors.New("the server sent responses to other requests")
	errHeadTooLong        = errors.Errorf("the server sent more than %d bytes without completing the head of a response", maxHeadBytes)
)

// conn is one connection. Its reader goroutine always has a read pending, also while
// the connection is idle, so that a close or unsolicited bytes are detected at once.
type conn struct {
	net net.Conn
	// source limits what reader takes from net while the head of a response is read.
	source  *headSource
	reader  *bufio.Reader
	pending atomic.Pointer[exchange]
	// closed is set just before the socket is closed, and aborted is closed with it.
	closed       atomic.Bool
	aborted      <-chan struct{}
	closeAborted context.CancelFunc
	// released is closed once the kernel has given up the connection. unacknowledged is then how
	// many bytes the server had not acknowledged, and cause why it was given up, if that is known.
	released       chan struct{}
	unacknowledged int
	cause          atomic.Pointer[error]
	// due is the transfer of the last request that the server has accepted. It belongs to the
	// reader goroutine.
	due *transfer
	// reusable is cleared when the connection must not carry another request.
	reusable atomic.Bool
	// requestWritten is set once the write of the request has ended, with or without error.
	requestWritten atomic.Bool
	// writtenWhole is set once the request has been written without an error.
	writtenWhole atomic.Bool
	// writeInterrupted is set when a response that needs no more of the request came before
	// it was written, and the write was interrupted.
	writeInterrupted atomic.Bool
	idleSince        time.Time
	// idleTimeout is how long the connection may stay idle before it is replaced.
	idleTimeout time.Duration
	// deliveryTimeout is how long the kernel tries to deliver bytes. Only writers use it.
	deliveryTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	source := &headSource{net: c, ctx: ctx}
	out := &conn{
		net:             c,
		source:          source,
		reader:          bufio.NewReaderSize(source, readBufferBytes),
		aborted:         ctx.Done(),
		closeAborted:    cancel,
		released:        make(chan struct{}),
		idleSince:       time.Now(),
		idleTimeout:     defaultIdleTimeout,
		deliveryTimeout: unackedTimeout,
	}
	out.reusable.Store(true)
	go out.readLoop()
	return out
}

// abort resets the connection (see sockopt.ResetOnClose), which discards bytes that have
// not been delivered. When it returns, the kernel sends no more of them, even if another
// goroutine aborts the connection: that one may have been interrupted in between.
func (c *conn) abort() {
	c.end(false)
}

// abortBecause aborts the connection for the given reason.
func (c *conn) abortBecause(cause error) {
	c.cause.CompareAndSwap(nil, &cause)
	c.abort()
}

// abortCause returns why the connection was aborted.
func (c *conn) abortCause() error {
	if cause := c.cause.Load(); cause != nil {
		return *cause
	}
	return errServerReset
}

// retire closes a connection on which everything has been delivered, in order: after a reset some
// systems drop what the server has received and not read yet. It resets the connection if a
// request has begun on it meanwhile.
func (c *conn) retire() {
	c.end(true)
}

func (c *conn) end(inOrder bool) {
	if c.closed.Swap(true) {
		<-c.released
		return
	}
	c.unacknowledged = sockopt.Unacknowledged(c.net)
	c.closeAborted()
	if l, ok := c.net.(lingerSetter); ok && inOrder && c.pending.Load() == nil {
		_ = l.SetLinger(-1) // the connection is closed in any case
	}
	_ = c.net.Close() // the connection is abandoned; an error needs no handling
	close(c.released)
}

// undelivered returns how many bytes that were written to the connection the server has not
// acknowledged, or had not when the connection was closed.
func (c *conn) undelivered() int {
	n := sockopt.Unacknowledged(c.net) // 0 if the connection is closed
	if c.closed.Load() {
		<-c.released
		return c.unacknowledged
	}
	return n
}

// readLoop is the body of the reader goroutine. It fails the pending request, if any,
// when the connection ends.
func (c *conn) readLoop() {
	err := c.readResponses()
	c.reusable.Store(false)
	c.endAfterDelivery()
	if x := c.pending.Swap(nil); x != nil {
		x.done <- result{err: err}
	}
}

// endAfterDelivery ends a connection that carries no more responses, once nothing that was
// accepted is due: a server may end its side, or send too much, and still read.
func (c *conn) endAfterDelivery() {
	if c.due == nil || c.pending.Load() != nil || sockopt.DeliveryOf(c.net).Ended {
		c.abort()
		return
	}
	select {
	case <-c.due.settled:
		c.retire()
	case <-c.aborted:
		c.abort() // waits until the kernel has given it up
	}
}

func (c *conn) readResponses() error {
	unmatched := 0
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		x := c.pending.Load()
		if x == nil {
			return errUnsolicitedBytes
		}
		response, err := c.readHead(x)
		reserved := c.source.end()
		if err != nil {
			x.holding.Return(membudget.ResponseHeads, reserved)
			return err
		}
		match := x.request.Match(response.Header)
		if match != MatchProven {
			c.reusable.Store(false)
		}
		if match == MatchNone {
			x.holding.Return(membudget.ResponseHeads, reserved)
			if unmatched++; unmatched > maxUnmatchedResponses {
				return errUnmatchedResponses
			}
			if _, err := io.CopyN(io.Discard, response.Body, maxBufferedBytes); !errors.Is(err, io.EOF) {
				return errors.Wrap(errUnmatchedResponses, "discarding a response to another request")
			}
			continue
		}
		if err := c.deliver(x, response, reserved); err != nil {
			return err
		}
		if !c.reusable.Load() {
			return errUnsolicitedBytes
		}
	}
}

// readHead reads the head of the next final response to the request of the exchange.
// The limit covers the interim responses before it too.
func (c *conn) readHead(x *exchange) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // has no error: it reads nothing
	if err := c.source.begin(x.holding, buffered); err != nil {
		return nil, errors.Wrap(err, "malformed response")
	}
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: x.request.Method})
		switch {
		case err != nil && c.source.exceeded():
			return nil, errHeadTooLong
		case err != nil:
			return nil, errors.Wrap(err, "malformed response")
		case response.StatusCode/100 == 1:
			continue
		case !responsehead.IsFinalStatus(response.StatusCode):
			return nil, errors.Errorf("malformed response: status %03d", response.StatusCode)
		}
		return response, nil
	}
}

// deliver passes the response to the waiting request, with the memory that its head has
// taken. It returns once the connection is no longer needed to read the body.
func (c *conn) deliver(x *exchange, httpResponse *http.Response, reserved int64) error {
	c.updateIdleTimeout(httpResponse.Header)
	if isCloseDelimited(httpResponse) {
		httpResponse.Body = closeDelimitedBody{ReadCloser: httpResponse.Body, conn: c}
	}
	body, err := readBuffered(httpResponse, x.holding)
	if err != nil {
		x.holding.Return(membudget.ResponseHeads, reserved)
		return err
	}
	if httpResponse.Close || c.reader.Buffered() > 0 {
		c.reusable.Store(false)
	}
	response := &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body.bytes, Closing: httpResponse.Close, Length: httpResponse.ContentLength}
	if body.reserved == 0 && len(body.bytes) > uncountedBodyBytes {
		body.reserved = int64(cap(body.bytes))
		x.holding.Charge(membudget.ResponseBodies, body.reserved)
	}
	if reserved+body.reserved > 0 {
		response.release = func() {
			x.holding.Return(membudget.ResponseHeads, reserved)
			x.holding.Return(membudget.ResponseBodies, body.reserved)
		}
	}
	x.holding.Progress()
	accepted := x.isAccepted(response)
	c.due = nil
	if accepted {
		c.due = x.transfer
	}
	if omitsBody(x.request.Method, httpResponse.StatusCode) {
		response.BodyOmitted, response.Length = true, statedLength(httpResponse)
		c.complete(x, response)
		return nil
	}
	if body.whole {
		response.Length = int64(len(body.bytes))
		c.complete(x, response)
		return nil
	}
	c.reusable.Store(false)
	stream := newRemainder(httpResponse.Body, c, x, accepted)
	response.Remainder = stream
	c.complete(x, response)
	select {
	case <-stream.closed:
	case <-c.aborted:
	}
	x.stopWatch()
	return nil
}

// complete ends the exchange with response, and interrupts the write of the request if
// it is still in progress and the server does not need the rest.
func (c *conn) complete(x *exchange, response *Response) {
	if !c.requestWritten.Load() && !response.accepts() {
		c.writeInterrupted.Store(true)
		_ = c.net.SetWriteDeadline(time.Unix(1, 0)) // interrupts the write in progress, which returns the error
	}
	c.idleSince = time.Now()
	if c.pending.CompareAndSwap(x, nil) {
		x.done <- result{response: response}
		return
	}
	response.Release() // the write of the request has failed, and nobody waits any more
}

// updateIdleTimeout derives the idle timeout from the server's Keep-Alive header.
func (c *conn) updateIdleTimeout(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = time.Duration(float64(n) * idleTimeoutFraction * float64(time.Second))
		}
	}
}

// canReuse reports whether the connection may carry another request at the time now.
func (c *conn) canReuse(now time.Time) bool {
	return c.reusable.Load() && !c.closed.Load() && now.Sub(c.idleSince) < c.idleTimeout
}

// write writes the complete request.
func (c *conn) write(request *Request) (result writeResult) {
	result.bytes, result.err = c.writeParts(request)
	c.writtenWhole.Store(result.err == nil)
	c.requestWritten.Store(true)
	result.at = time.Now()
	return result
}

func (c *conn) writeParts(request *Request) (int64, error) {
	parts := net.Buffers{request.Head}
	if len(request.Body) > 0 {
		parts = append(parts, request.Body)
	}
	n, err := parts.WriteTo(c.net)
	if err != nil || request.Remainder == nil {
		return n, err
	}
	more, err := io.Copy(c.net, bodySource{request.Remainder})
	return n + more, err
}

// mayStillRespond reports whether the reader goroutine is about to end the exchange although
// the write of the request has failed with err: with a response that has interrupted the
// write, or after a reset by the server with what it sent before, which may be a response.
func (c *conn) mayStillRespond(err error) bool {
	return c.writeInterrupted.Load() || isEndedByPeer(err)
}

// readyForNext reports whether the connection may carry another request after one
// whose write ended with err. It restores the write deadline if complete has changed
// it because the response came before the write had ended.
func (c *conn) readyForNext(err error) bool {
	if err != nil {
		return false
	}
	return !c.writeInterrupted.Swap(false) || c.net.SetWriteDeadline(time.Time{}) == nil
}
