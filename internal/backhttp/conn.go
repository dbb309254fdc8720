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
	errUnexpected = errors.New("the server sent bytes that nobody asked for")
	errStray      = errors.New("the server answered other requests")
)

// conn is one connection. Its reader goroutine waits for the server's bytes at
// all times, so that a close or unexpected bytes are noticed at once.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	pending atomic.Pointer[exchange]
	// dead is set before the socket is closed.
	dead atomic.Bool
	// usable is cleared when the connection must not be used again.
	usable atomic.Bool
	// written is set once the write of the request has ended.
	written atomic.Bool
	// hurried is set when the answer came first and the write was cut short.
	hurried   atomic.Bool
	idleSince time.Time
	// idleFor is how long the connection may lie unused.
	idleFor time.Duration
}

func newConn(c net.Conn) *conn {
	out := &conn{net: c, reader: bufio.NewReaderSize(c, readBuffer), idleFor: defaultIdle}
	out.usable.Store(true)
	go out.read()
	return out
}

// abort resets the connection, so that bytes still on their way are dropped.
func (c *conn) abort() {
	if c.dead.Swap(true) {
		return
	}
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is gone already needs no reset
	}
	_ = c.net.Close() // the connection is given up; nothing can be done about a failure
}

// read is the reader goroutine.
func (c *conn) read() {
	err := c.readAnswers()
	c.usable.Store(false)
	c.abort()
	if x := c.pending.Swap(nil); x != nil {
		x.done <- result{err: err}
	}
}

func (c *conn) readAnswers() error {
	strays := 0
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		x := c.pending.Load()
		if x == nil {
			return errUnexpected
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return errors.Wrap(err, "unreadable answer")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		owned := x.request.Matches(response.Header)
		if !owned {
			if strays++; strays > strayAnswers {
				return errStray
			}
			c.usable.Store(false)
			if _, err := io.CopyN(io.Discard, response.Body, heldBytes); !errors.Is(err, io.EOF) {
				return errors.Wrap(errStray, "and did not end")
			}
			continue
		}
		if err := c.deliver(x, response); err != nil {
			return err
		}
		if !c.usable.Load() {
			return errUnexpected
		}
	}
}

// deliver hands the answer to the request. It returns once the body is read.
func (c *conn) deliver(x *exchange, response *http.Response) error {
	c.noteIdleTimeout(response.Header)
	body, err := readHeld(response)
	if err != nil {
		return err
	}
	if response.Close || c.reader.Buffered() > 0 {
		c.usable.Store(false)
	}
	answer := &Response{Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength}
	if len(body) <= heldBytes {
		answer.Length = int64(len(body))
		c.finish(x, answer)
		return nil
	}
	c.usable.Store(false)
	rest := newRest(response.Body)
	answer.Remainder = rest
	c.finish(x, answer)
	<-rest.closed
	return nil
}

func (c *conn) finish(x *exchange, answer *Response) {
	if !c.written.Load() {
		c.hurried.Store(true)
		_ = c.net.SetWriteDeadline(time.Unix(1, 0)) // ends the write that is under way; its error is reported there
	}
	c.idleSince = time.Now()
	if c.pending.CompareAndSwap(x, nil) {
		x.done <- result{answer: answer}
	}
}

// readHeld reads the body, or its first heldBytes+1 bytes.
func readHeld(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n > 0 && n <= heldBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, errors.Wrap(err, "short answer")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, heldBytes+1))
	return body, errors.Wrap(err, "short answer")
}

// noteIdleTimeout takes over how long the server keeps unused connections.
func (c *conn) noteIdleTimeout(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.idleFor = time.Duration(float64(n) * idleShare * float64(time.Second))
		}
	}
}

// fresh reports whether the connection may carry another request at now.
func (c *conn) fresh(now time.Time) bool {
	return c.usable.Load() && !c.dead.Load() && now.Sub(c.idleSince) < c.idleFor
}

// write sends the whole request.
func (c *conn) write(request *Request) error {
	defer c.written.Store(true)
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

// settle reports whether the connection may carry another request after one whose
// answer may have come before the end of its write, which ended with err.
func (c *conn) settle(err error) bool {
	if err != nil {
		return false
	}
	return !c.hurried.Swap(false) || c.net.SetWriteDeadline(time.Time{}) == nil
}
