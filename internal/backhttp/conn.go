package backhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	errUnsolicitedBytes   = errors.New("the server sent bytes that nobody asked for")
	errUnmatchedResponses = errors.New("the server answered other requests")
)

// conn is one connection. Its reader goroutine waits for the server's bytes at
// all times, so that a close or unexpected bytes are noticed at once.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	pending atomic.Pointer[exchange]
	// closed is set before the socket is closed.
	closed atomic.Bool
	// reusable is cleared when the connection must not be used again.
	reusable atomic.Bool
	// requestWritten is set once the write of the request has ended.
	requestWritten atomic.Bool
	// writeInterrupted is set when the answer came first and the write was cut short.
	writeInterrupted atomic.Bool
	idleSince        time.Time
	// idleTimeout is how long the connection may lie unused.
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	out := &conn{net: c, reader: bufio.NewReaderSize(c, readBufferBytes), idleTimeout: defaultIdleTimeout}
	out.reusable.Store(true)
	go out.readLoop()
	return out
}

// abort resets the connection, so that bytes still on their way are dropped.
func (c *conn) abort() {
	if c.closed.Swap(true) {
		return
	}
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is gone already needs no reset
	}
	_ = c.net.Close() // the connection is given up; nothing can be done about a failure
}

// readLoop is the reader goroutine.
func (c *conn) readLoop() {
	err := c.readResponses()
	c.reusable.Store(false)
	c.abort()
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
		response, err := http.ReadResponse(c.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return errors.Wrap(err, "unreadable answer")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		matches := x.request.Matches(response.Header)
		if !matches {
			if unmatched++; unmatched > maxUnmatchedResponses {
				return errUnmatchedResponses
			}
			c.reusable.Store(false)
			if _, err := io.CopyN(io.Discard, response.Body, maxBufferedBytes); !errors.Is(err, io.EOF) {
				return errors.Wrap(errUnmatchedResponses, "and did not end")
			}
			continue
		}
		if err := c.deliver(x, response); err != nil {
			return err
		}
		if !c.reusable.Load() {
			return errUnsolicitedBytes
		}
	}
}

// deliver hands the answer to the request. It returns once the body is read.
func (c *conn) deliver(x *exchange, httpResponse *http.Response) error {
	c.updateIdleTimeout(httpResponse.Header)
	body, err := readBuffered(httpResponse)
	if err != nil {
		return err
	}
	if httpResponse.Close || c.reader.Buffered() > 0 {
		c.reusable.Store(false)
	}
	response := &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body, Length: httpResponse.ContentLength}
	if len(body) <= maxBufferedBytes {
		response.Length = int64(len(body))
		c.complete(x, response)
		return nil
	}
	c.reusable.Store(false)
	rest := newRemainder(httpResponse.Body)
	response.Remainder = rest
	c.complete(x, response)
	<-rest.closed
	return nil
}

func (c *conn) complete(x *exchange, response *Response) {
	if !c.requestWritten.Load() {
		c.writeInterrupted.Store(true)
		_ = c.net.SetWriteDeadline(time.Unix(1, 0)) // ends the write that is under way; its error is reported there
	}
	c.idleSince = time.Now()
	if c.pending.CompareAndSwap(x, nil) {
		x.done <- result{response: response}
	}
}

// readBuffered reads the body, or its first heldBytes+1 bytes.
func readBuffered(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n > 0 && n <= maxBufferedBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, errors.Wrap(err, "short answer")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	return body, errors.Wrap(err, "short answer")
}

// updateIdleTimeout takes over how long the server keeps unused connections.
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

// canReuse reports whether the connection may carry another request at now.
func (c *conn) canReuse(now time.Time) bool {
	return c.reusable.Load() && !c.closed.Load() && now.Sub(c.idleSince) < c.idleTimeout
}

// write sends the whole request.
func (c *conn) write(request *Request) error {
	defer c.requestWritten.Store(true)
	parts := net.Buffers{request.Head}
	if len(request.Body) > 0 {
		parts = append(parts, request.Body)
	}
	if _, err := parts.WriteTo(c.net); err != nil {
		return err
	}
	if request.Remainder != nil {
		if _, err := io.Copy(c.net, request.Remainder); err != nil {
			return err
		}
	}
	return nil
}

// readyForNext reports whether the connection may carry another request after one whose
// answer may have come before the end of its write, which ended with err.
func (c *conn) readyForNext(err error) bool {
	if err != nil {
		return false
	}
	return !c.writeInterrupted.Swap(false) || c.net.SetWriteDeadline(time.Time{}) == nil
}
