package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a consumer got.
type answer struct {
	status int
	id     string
	stamp  string
	body   []byte
	took   time.Duration
	// closes is set if the answer announces the close of the connection.
	closes bool
	at     time.Time
	// err is set if there was no complete answer.
	err error
}

// isSuccess reports whether the consumer got a complete success for the request.
func (a answer) isSuccess(id string) bool {
	return a.err == nil && a.status/100 == 2 && a.stamp != "" && a.id == id
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, stamp %q, %d bytes, error %v, after %d ms", a.status, a.stamp, len(a.body), a.err, a.took.Milliseconds())
}

// consumer is a consumer with one kept connection.
type consumer struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*consumer, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{c, bufio.NewReader(c)}, nil
}

// request returns the bytes of a request. The time budget is in ms.
func request(method, path, id string, budget int, body []byte) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, budget)
	if method != http.MethodGet {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}

// send sends a request and reads its answer, in the time that the consumer has. Between reads
// of 16 KB of the body it waits for the pause.
func (c *consumer) send(method, path, id string, budget int, body []byte, pause time.Duration) answer {
	sentAt := time.Now()
	_ = c.SetDeadline(sentAt.Add(time.Duration(budget) * time.Millisecond))
	if _, err := c.Write(request(method, path, id, budget, body)); err != nil {
		return answer{err: err, at: time.Now(), took: time.Since(sentAt)}
	}
	return c.receive(method, sentAt, pause)
}

// receive reads the answer to a request that was sent at the given time.
func (c *consumer) receive(method string, sentAt time.Time, pause time.Duration) (a answer) {
	defer func() { a.at, a.took = time.Now(), time.Since(sentAt) }()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.id, a.stamp = response.StatusCode, response.Header.Get("X-Attempt-Id"), response.Header.Get("X-Response-Stamp")
	a.closes = response.Close
	part := make([]byte, 16<<10)
	for {
		n, err := response.Body.Read(part)
		a.body = append(a.body, part[:n]...)
		if err == io.EOF {
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
		time.Sleep(pause)
	}
}
