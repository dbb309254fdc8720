package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/payload"
	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
)

const (
	// connectTimeout is how long callers wait for a connection.
	connectTimeout = time.Second
	// chunkCount is the number of pieces in which a slow body is sent.
	chunkCount = 8
	// probeTime is how long an idle connection is checked for bytes that nobody asked for.
	probeTime = time.Millisecond
	// closeWait is how long a caller waits for the end of a connection whose close was announced.
	closeWait = time.Second
)

// Host is the host of all requests.
const Host = "soak.example"

var connectionNumber atomic.Int64

// conn is a connection to an instance.
type conn struct {
	net      net.Conn
	reader   *bufio.Reader
	instance *Instance
	process  int
	number   int64
	// reused is set once a response has arrived.
	reused atomic.Bool
	// slow is set if reader is a slowReader.
	slow bool
}

func dial(instance *Instance) (*conn, error) {
	raw, err := net.DialTimeout("tcp4", instance.Address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{net: raw, reader: bufio.NewReader(raw), instance: instance, process: instance.Process(), number: connectionNumber.Add(1)}, nil
}

// dialSlow opens a connection that is read slowly, through a small receive buffer.
func dialSlow(instance *Instance) (*conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBufferBytes) // a larger buffer only hides faults
		})
	}}
	raw, err := dialer.Dial("tcp4", instance.Address)
	if err != nil {
		return nil, err
	}
	return &conn{net: raw, reader: bufio.NewReaderSize(slowReader{raw}, slowReadBytes), instance: instance, process: instance.Process(), number: connectionNumber.Add(1), slow: true}, nil
}

func (c *conn) close() {
	_ = c.net.Close()
}

// usable checks an idle connection. It returns false if the instance has closed it, and
// an error if bytes have arrived that belong to no request.
func (c *conn) usable() (bool, error) {
	probe := probeTime
	if c.slow {
		probe += slowReadPause
	}
	_ = c.net.SetReadDeadline(time.Now().Add(probe))
	_, err := c.reader.Peek(1)
	if err == nil {
		return false, errors.Errorf("connection %d to %s carries bytes without a request", c.number, c.instance.Name)
	}
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout(), nil
}

// send writes the attempt. An error does not mean that the instance has read nothing.
func (c *conn) send(a *Attempt) error {
	a.Instance, a.Process, a.Connection, a.Reused = c.instance.Name, c.process, c.number, c.reused.Load()
	a.StartedAt = time.Now()
	defer func() { a.SentAt = time.Now() }()
	_ = c.net.SetWriteDeadline(a.StartedAt.Add(a.Timeout))
	method := http.MethodPost
	if a.Route.Idempotent {
		method = http.MethodGet
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, a.Target, Host, a.ID, a.Timeout.Milliseconds())
	if a.Route.Keyed {
		head += fmt.Sprintf("X-Shard-Key: %d\r\n", a.Key)
	}
	body := []byte{}
	if a.bodyBytes > 0 {
		body = payload.Make(a.ID, a.bodyBytes)
	}
	var target io.Writer = c.net
	switch {
	case a.chunked:
		head += "Transfer-Encoding: chunked\r\n"
		target = httputil.NewChunkedWriter(c.net)
	case method == http.MethodPost:
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := io.WriteString(c.net, head+"\r\n"); err != nil {
		return err
	}
	for piece := len(body)/chunkCount + 1; len(body) > 0; body = body[min(piece, len(body)):] {
		time.Sleep(a.chunkPause)
		if _, err := target.Write(body[:min(piece, len(body))]); err != nil {
			return err
		}
	}
	if chunks, ok := target.(io.Closer); ok && a.chunked {
		if err := chunks.Close(); err != nil {
			return err
		}
		_, err := io.WriteString(c.net, "\r\n")
		return err
	}
	return nil
}

// sendOrNote writes the attempt and notes an error in it.
func (c *conn) sendOrNote(a *Attempt) {
	if err := c.send(a); err != nil {
		a.Detail = "send: " + err.Error()
	}
}

// receive reads the response to the attempt and reports whether another one may follow.
func (c *conn) receive(a *Attempt) bool {
	defer func() { a.EndedAt = time.Now() }()
	leaveAt := a.StartedAt.Add(a.Timeout)
	if a.leavesAfter > 0 {
		leaveAt = a.StartedAt.Add(a.leavesAfter)
	}
	_ = c.net.SetReadDeadline(leaveAt)
	response, err := http.ReadResponse(c.reader, nil)
	var content []byte
	if err == nil {
		a.Status, a.Stamp = response.StatusCode, response.Header.Get("X-Response-Stamp")
		a.ServerLeaving = response.Header.Get(backend.HeaderLeaving) != ""
		content, err = io.ReadAll(response.Body)
	}
	if err != nil {
		a.Result, a.Detail = Cut, err.Error()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			a.Result = Left
		}
		return false
	}
	a.Result = Complete
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.check(response, content)
	c.reused.Store(true)
	return !response.Close
}

// check records what is wrong with a complete response.
func (a *Attempt) check(response *http.Response, content []byte) {
	id := response.Header.Get("X-Attempt-Id")
	switch {
	case id != "" && id != a.ID:
		a.Fault = "the response belongs to " + id
	case a.Status/100 == 2 && id == "":
		a.Fault = "a success without the request ID"
	case a.Status/100 == 2 && a.Stamp == "":
		a.Fault = "a success without a server's stamp"
	case a.Status/100 == 2 && payload.Check(a.Stamp, a.size, content) != nil:
		a.Fault = "a success without the server's complete body"
	case response.Header.Get(backend.HeaderBodyMismatch) != "":
		a.Fault = "the server got another body"
	case response.Header.Get("Content-Encoding") != "":
		a.Fault = "a response with a content encoding"
	}
}

// awaitClose waits for the end of a connection whose close was announced. It returns an
// error if anything else arrives.
func (c *conn) awaitClose() error {
	_ = c.net.SetReadDeadline(time.Now().Add(closeWait))
	if _, err := c.reader.Peek(1); err == nil {
		return errors.Errorf("connection %d to %s carries bytes behind an announced close", c.number, c.instance.Name)
	}
	return nil
}
