package callerhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// conn is one caller's connection. serve reads the requests. A goroutine per request
// runs it and writes its response once the previous response has been written.
type conn struct {
	server *Server
	net    net.Conn
	source *headSource
	// holding counts what the connection holds.
	holding *membudget.Holding
	reader  *bufio.Reader
	// ctx is cancelled when the caller has disconnected, without a cause, or can't be
	// answered any more, with the cause.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	requests requestState
	// broken is set when a response could not be written completely. Nothing may follow it.
	broken atomic.Bool
	// stalled is set if that was because the caller had taken nothing for stallTimeout.
	stalled atomic.Bool
	// state is connOpen, connEvicted or connRemoved.
	state atomic.Int32
	// callerWaits counts the reads of bodies and writes that wait for the caller.
	callerWaits atomic.Int32
	// ending is set once nothing more is to be read for requests. It is set before the
	// pending read is interrupted.
	ending atomic.Bool
	// lastResponse is when the last response ended, in nanoseconds after openedAt.
	lastResponse atomic.Int64
	openedAt     time.Time
	// writeClosed is set once the sending side has been closed.
	writeClosed atomic.Bool
	// delivery is what is known of the last responses while the connection is idle. It belongs to
	// the goroutine that reads requests.
	delivery delivery
	// closedIdle is set when the connection ends because it was idle. It belongs to the
	// goroutine that reads requests.
	closedIdle bool
	// received is closed once the response to the last request cannot break off any more, or is
	// nil if it cannot at all. It belongs to the goroutine that reads requests.
	received chan struct{}
	// interrupted is closed once the requested idle close has interrupted the pending read.
	interrupted chan struct{}
	// pipelineSlots limits the number of concurrent requests.
	pipelineSlots chan struct{}
}

func newConn(s *Server, raw net.Conn, ctx context.Context, cancel context.CancelCauseFunc) *conn {
	source := &headSource{net: raw, remaining: noHeaderLimit}
	c := &conn{
		server:        s,
		net:           raw,
		source:        source,
		reader:        bufio.NewReaderSize(source, readBufferBytes),
		cancel:        cancel,
		openedAt:      time.Now(),
		interrupted:   make(chan struct{}),
		pipelineSlots: make(chan struct{}, pipelineDepth),
	}
	c.holding = s.memory().Open(c.endForMemory)
	c.ctx = membudget.NewContext(ctx, c.holding)
	source.holding = c.holding
	return c
}

func (c *conn) serve() {
	previous := make(chan struct{})
	close(previous)
	for {
		next, more := c.readRequest(previous)
		if next != nil {
			previous = next
		}
		if !more {
			break
		}
	}
	if c.requests.seal() > 0 {
		c.discardInput()
	}
	<-previous
	c.cancel(nil)
	c.linger()
	_ = c.net.Close() // everything has been sent; an error has no consequence
	c.holding.Close()
	c.server.removeConn(c)
}

// setReadDeadline sets the read deadline, unless the connection is ending: then pending
// and later reads fail at once.
func (c *conn) setReadDeadline(t time.Time) {
	_ = c.net.SetReadDeadline(t) // fails only on a closed connection, on which the read fails too
	if c.ending.Load() {
		c.interruptRead()
	}
}

// readRequest reads one request and starts it. It returns the channel that is closed
// once the request has been answered, and whether another request may follow.
func (c *conn) readRequest(previous chan struct{}) (chan struct{}, bool) {
	if !c.awaitFirstByte() {
		return nil, false
	}
	limits := c.server.limits().withDefaults()
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
	c.source.begin(limits.HeaderBytes, buffered)
	hasLength := c.mayHaveContentLength()
	request, err := http.ReadRequest(c.reader)
	if c.source.short {
		err = errNoMemory
	}
	if err == nil {
		err = checkRequest(request)
	}
	if err != nil {
		defer c.holding.Return(membudget.Requests, c.source.taken)
		return c.rejectMalformed(previous, err), false
	}
	if hasLength && len(request.TransferEncoding) > 0 {
		request.Close = true // the bytes that follow may be meant as part of the body
	}
	arrivedAt := time.Now()
	headBytes := c.source.end()
	c.holding.Progress()
	c.setReadDeadline(time.Time{})
	traits := c.server.handler.Traits(request)
	if !traits.Concurrent {
		c.await(previous)
	} else if c.received != nil {
		c.await(c.received)
	}
	if !c.acquireSlot() {
		c.holding.Return(membudget.Requests, headBytes)
		return nil, false
	}
	if !c.holding.TakeSmall(membudget.Requests, requestBytes) {
		<-c.pipelineSlots
		c.holding.Return(membudget.Requests, headBytes)
		return c.refuseForMemory(previous), false
	}
	c.received = nil
	if traits.MayStream {
		c.received = make(chan struct{})
	}
	return c.startRequest(request, previous, headBytes, arrivedAt)
}

// rejectMalformed answers a request that could not be read because of err and closes
// the connection. It returns nil, without an answer, if the caller has disconnected or an
// earlier response announces the close.
func (c *conn) rejectMalformed(previous chan struct{}, err error) chan struct{} {
	status := http.StatusBadRequest
	var invalidTarget *url.Error // which is a net.Error too
	var timeout net.Error
	switch {
	case c.source.short:
		return c.refuseForMemory(previous)
	case errors.As(err, &invalidTarget):
	case c.source.remaining <= 0:
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.cancel(nil)
		return nil
	case isTimeout(err):
		status = http.StatusRequestTimeout
	case errors.As(err, &timeout):
		c.cancel(nil)
		return nil
	}
	if !c.requests.start() {
		return nil
	}
	done := make(chan struct{})
	go c.respond(&Response{Status: status}, previous, done, true)
	return done
}

// startRequest runs the request, which has a slot and its memory, in its own goroutine and
// waits until its body has been read. It returns the same values as readRequest.
func (c *conn) startRequest(request *http.Request, previous chan struct{}, headBytes int64, arrivedAt time.Time) (chan struct{}, bool) {
	if !c.requests.start() {
		<-c.pipelineSlots
		c.returnRequest(nil, headBytes)
		return nil, false // not executed: the caller is told that the connection closes
	}
	closing := request.Close
	var incoming *body
	if request.Body != nil && request.Body != http.NoBody {
		incoming = newBody(request, c.net, c.holding, &c.callerWaits, c.continueFunc(request, previous))
		request.Body = incoming
	}
	done, received := make(chan struct{}), c.received
	go func() {
		response := c.server.handler.Handle(c.ctx, request, arrivedAt)
		if received != nil {
			response.notifyReceived(received)
		}
		c.respond(response, previous, done, closing || incoming != nil && !incoming.drainable())
		c.returnRequest(incoming, headBytes)
		<-c.pipelineSlots
	}()
	more := incoming == nil || c.drainBody(incoming, done)
	c.requests.endReading()
	return done, more && !closing
}
