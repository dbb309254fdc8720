package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"sort"
	"strconv"
	"sync/atomic"
	"time"
)

func sorted(s []string) []string { sort.Strings(s); return s }

var attempts atomic.Int64

// request is one attempt of a consumer.
type request struct {
	id, kind, method, target string
	size, body, key          int
	chunked, keyed, expect   bool
	deadline                 time.Duration
	pieces                   int
	pause                    time.Duration
}

func newRequest(kind, prefix string, work, size, body int) *request {
	n := attempts.Add(1)
	id := fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15)
	method := "GET"
	if kind == "unsafe" {
		method = "POST"
	}
	return &request{id: id, kind: kind, method: method, target: fmt.Sprintf("%s%d?work=%d&size=%d", prefix, n, work, size), size: size, body: body, deadline: 2 * time.Second, key: rand.IntN(65536), pieces: 1}
}

type client struct {
	w    *world
	e    *entry
	conn net.Conn
	in   *bufio.Reader
}

func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp4", c.e.callers, time.Second)
	if err != nil {
		c.w.count("no connection")
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) send(r *request) error {
	c.w.sent.Store(r.id, r.kind)
	if r.body > 0 {
		c.w.bodies.Store(r.id, r.body)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.target, r.id, r.deadline.Milliseconds())
	if r.keyed {
		head += fmt.Sprintf("X-Shard-Key: %d\r\n", r.key)
	}
	if r.expect {
		head += "Expect: 100-continue\r\n"
	}
	body := bodyOf("body"+r.id, r.body)
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + 3*time.Second))
	if r.chunked {
		if _, err := io.WriteString(c.conn, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		out := httputil.NewChunkedWriter(c.conn)
		for piece := len(body)/r.pieces + 1; len(body) > 0; body = body[min(piece, len(body)):] {
			if _, err := out.Write(body[:min(piece, len(body))]); err != nil {
				return err
			}
			time.Sleep(r.pause)
		}
		_ = out.Close()
		_, err := io.WriteString(c.conn, "\r\n")
		return err
	}
	if r.body > 0 {
		head += "Content-Length: " + strconv.Itoa(r.body) + "\r\n"
	}
	if r.pieces <= 1 {
		_, err := c.conn.Write(append([]byte(head+"\r\n"), body...))
		return err
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		return err
	}
	for piece := len(body)/r.pieces + 1; len(body) > 0; body = body[min(piece, len(body)):] {
		if _, err := c.conn.Write(body[:min(piece, len(body))]); err != nil {
			return err
		}
		time.Sleep(r.pause)
	}
	return nil
}

// receive reads the answer and checks it. It reports the status, or 0 for none, and whether the connection goes on.
func (c *client) receive(r *request) (int, bool) {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: r.method})
	for err == nil && resp.StatusCode == 100 {
		resp, err = http.ReadResponse(c.in, &http.Request{Method: r.method})
	}
	if err != nil {
		var t net.Error
		if errors.As(err, &t) && t.Timeout() {
			c.w.count("never answered")
		} else {
			c.w.count("cut, no answer")
		}
		return 0, false
	}
	body, err := io.ReadAll(resp.Body)
	c.w.count(fmt.Sprintf("%s answered %d", r.kind, resp.StatusCode))
	if err != nil {
		c.w.count("answer broke off")
		return 0, false
	}
	id, stamp := resp.Header.Get("X-Attempt-Id"), resp.Header.Get("X-Response-Stamp")
	switch {
	case id != "" && id != r.id:
		c.w.breaks("MIXED", "%s gets the answer of %s", r.id, id)
	case stamp != "" && stamp != "s."+r.id && stamp != "f."+r.id:
		c.w.breaks("MIXED", "%s gets the stamp %s", r.id, stamp)
	case resp.StatusCode/100 == 2 && stamp != "s."+r.id:
		c.w.breaks("MIXED", "%s gets a success with stamp %q", r.id, stamp)
	case resp.StatusCode/100 == 2 && string(body) != string(bodyOf(r.id, r.size)):
		c.w.breaks("MIXED", "%s gets a success with %d bytes in place of %d", r.id, len(body), r.size)
	}
	switch resp.StatusCode {
	case 408, 421, 429, 503:
		if stamp == "" && r.kind == "unsafe" {
			c.w.refused.Store(r.id, resp.StatusCode)
			if n, known := c.w.runs.Load(r.id); known && n.(*atomic.Int64).Load() > 0 {
				c.w.breaks("REFUSED", "%s is answered %d and has run", r.id, resp.StatusCode)
			}
		}
	}
	return resp.StatusCode, !resp.Close
}
