package callerhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// conn is one caller's connection. serve reads the requests. A goroutine per request
// runs it and writes its response once the previous response has been written.
type conn struct {
	server *Server
	net    net.Conn
	source *io.LimitedReader
	reader *bufio.Reader
	// ctx is cancelled when the caller has disconnected.
	ctx    context.Context
	cancel context.CancelFunc
	// activeRequests counts the requests that have not been answered yet.
	activeRequests atomic.Int64
	// closing is set once no further request is accepted, for example because a response
	// has announced the close of the connection.
	closing atomic.Bool
	// idle is set while the connection waits for the first byte of a request and no
	// request is in progress.
	idle atomic.Bool
	// pipelineSlots limits the number of concurrent requests.
	pipelineSlots chan struct{}
}

// noHeaderLimit lifts the limit on header bytes while a body is read.
const noHeaderLimit = 1 << 62

func newConn(s *Server, raw net.Conn, ctx context.Context, cancel context.CancelFunc) *conn {
	source := &io.LimitedReader{R: raw, N: noHeaderLimit}
	return &conn{
		server:        s,
		net:           raw,
		source:        source,
		reader:        bufio.NewReaderSize(source, readBufferBytes),
		ctx:           ctx,
		cancel:        cancel,
		pipelineSlots: make(chan struct{}, pipelineDepth),
	}
}

func (c *conn) serve() {
	previous := make(chan struct{})
	close(previous)
	for !c.closing.Load() {
		next, more := c.readRequest(previous)
		if next != nil {
			previous = next
		}
		if !more {
			break
		}
	}
	c.awaitResponses(previous)
	c.cancel()
	c.linger()
	_ = c.net.Close() // everything has been sent; an error has no consequence
	c.server.removeConn(c)
}

// awaitResponses waits until the last response has been written. It reads meanwhile and
// ignores what it reads, since only a read shows that the caller has disconnected, which
// cancels the requests in progress.
func (c *conn) awaitResponses(last chan struct{}) {
	select {
	case <-last:
		return
	default:
	}
	c.source.N = noHeaderLimit
	_ = c.net.SetReadDeadline(time.Time{}) // fails only on a closed connection, on which the read below fails too
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, err := io.Copy(io.Discard, c.reader)
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			c.cancel()
		}
	}()
	<-last
	c.interruptRead()
	<-ended
}

// readRequest reads one request and starts it. It returns the channel that is closed
// once the request has been answered, and whether another request may follow.
func (c *conn) readRequest(previous chan struct{}) (chan struct{}, bool) {
	limits := c.server.limits().withDefaults()
	if !c.awaitFirstByte(limits) {
		return nil, false
	}
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // fails only on a closed connection, on which the read below fails too
	c.source.N = int64(limits.HeaderBytes)
	hasLength := c.mayHaveContentLength()
	request, err := http.ReadRequest(c.reader)
	if err == nil {
		err = checkRequest(request)
	}
	if err != nil {
		return c.rejectMalformed(previous, err), false
	}
	if hasLength && len(request.TransferEncoding) > 0 {
		request.Close = true // the bytes that follow may be meant as part of the body
	}
	c.source.N = noHeaderLimit
	_ = c.net.SetReadDeadline(time.Time{})
	if !c.server.handler.CanPipeline(request) {
		select {
		case <-previous:
		case <-c.ctx.Done():
		}
	}
	if c.closing.Load() {
		return nil, false // not executed: the caller was told that the connection closes
	}
	return c.startRequest(request, previous)
}

// awaitFirstByte waits for the next request and reports whether one has begun. When
// the caller disconnects meanwhile, the requests in progress are cancelled.
func (c *conn) awaitFirstByte(limits Limits) bool {
	for {
		_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		c.idle.Store(c.activeRequests.Load() == 0)
		_, err := c.reader.Peek(1)
		c.idle.Store(false)
		if err == nil {
			return true
		}
		if c.closing.Load() {
			return false
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && c.activeRequests.Load() > 0 {
			continue
		}
		if c.activeRequests.Load() > 0 {
			c.cancel()
		}
		return false
	}
}

// rejectMalformed answers a request that could not be read because of err and closes
// the connection. It returns nil, without an answer, if the caller has disconnected.
func (c *conn) rejectMalformed(previous chan struct{}, err error) chan struct{} {
	status := http.StatusBadRequest
	var timeout net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && c.source.N > 0:
		c.cancel()
		return nil
	case c.source.N <= 0:
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
	case errors.As(err, &timeout):
		c.cancel()
		return nil
	}
	done := make(chan struct{})
	c.activeRequests.Add(1)
	go c.respond(&Response{Status: status}, previous, done, true)
	return done
}

// startRequest runs the request in its own goroutine and waits until its body has been
// read. It returns the same values as readRequest.
func (c *conn) startRequest(request *http.Request, previous chan struct{}) (chan struct{}, bool) {
	select {
	case c.pipelineSlots <- struct{}{}:
	case <-c.ctx.Done():
		return nil, false
	}
	closing := request.Close
	var incoming *body
	if request.Body != nil && request.Body != http.NoBody {
		incoming = newBody(request.Body, c.net, c.continueFunc(request, previous))
		request.Body = incoming
	}
	done := make(chan struct{})
	c.activeRequests.Add(1)
	go func() {
		response := c.server.handler.Handle(c.ctx, request)
		c.respond(response, previous, done, closing)
		<-c.pipelineSlots
	}()
	if incoming == nil {
		return done, !closing
	}
	return done, c.drainBody(incoming, done) && !closing
}

// continueFunc returns a function that sends the interim response 100 Continue, or nil
// if the caller does not expect one. It waits for the previous response.
func (c *conn) continueFunc(request *http.Request, previous chan struct{}) func() {
	if !strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		return nil
	}
	return func() {
		<-previous
		_, _ = c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the read that follows reports a failure
	}
}

// drainBody waits until the handler has finished with the body, and discards what it
// left unread. It reports whether another request may follow.
func (c *conn) drainBody(incoming *body, done chan struct{}) bool {
	select {
	case <-incoming.done:
	case <-done:
	}
	incoming.finish(false)
	<-incoming.done
	if incoming.complete {
		return true
	}
	_ = c.net.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	_, err := io.CopyN(io.Discard, incoming.Reader, bodyDrainBytes)
	_ = c.net.SetReadDeadline(time.Time{})
	return errors.Is(err, io.EOF)
}
