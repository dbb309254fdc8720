package backhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
	"peridotmoor.org/peridotmoor/internal/responsehead"
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
