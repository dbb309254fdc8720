package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// beatInterval is how often an upstream writes its entry.
const beatInterval = 1500 * time.Millisecond

// upstream is one sound upstream of a service that is not divided by key.
type upstream struct {
	w           *world
	id, service string
	// number counts the upstreams of the service from 0.
	number        int
	zone, address string
	born          int64
	slots         chan struct{}
	// work runs a request for which a slot is free. It returns whether the connection may
	// carry another one.
	work func(u *upstream, c *upstreamConn, r *http.Request) bool
}

// upstreamConn is a connection of a machine to an upstream.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
}

// addUpstreams adds upstreams with the given receive buffer, or that of the system if it is 0.
func (w *world) addUpstreams(service string, count, receiveBuffer int, work func(*upstream, *upstreamConn, *http.Request) bool) {
	zones := []string{"leicester", "derby", "nottingham"}
	config := net.ListenConfig{}
	if receiveBuffer > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}
	}
	for n := range count {
		listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
		check(err)
		u := &upstream{
			w: w, id: fmt.Sprintf("i-%s%02d", service, n), service: service, number: n, zone: zones[n%3], address: listener.Addr().String(),
			born: time.Now().UnixMilli(), slots: make(chan struct{}, 3), work: work,
		}
		w.upstreams = append(w.upstreams, u)
		go u.accept(listener)
		go u.report()
	}
}

// report writes the entry of the upstream.
func (u *upstream) report() {
	for sequence := 1; ; sequence++ {
		text, err := json.Marshal(map[string]any{
			"address": u.address, "born": u.born, "info": map[string]any{"service": u.service, "zone": u.zone, "version": "v1", "slots": cap(u.slots)},
			"status": map[string]any{"state": "ready", "sequence": sequence, "cold_remaining_s": 0},
		})
		if err == nil {
			u.w.store.Store().Put("servers/"+u.id, text)
		}
		time.Sleep(beatInterval)
	}
}

func (u *upstream) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serve(&upstreamConn{c, bufio.NewReaderSize(c, 1024)})
	}
}

func (u *upstream) serve(c *upstreamConn) {
	defer c.Close()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil || !u.answer(c, r) {
			return
		}
	}
}

// answer answers one request and returns whether the connection may carry another one.
func (u *upstream) answer(c *upstreamConn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/health" {
		return u.write(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Instance-Load: %s\r\nContent-Length: 0\r\n\r\n", u.id, u.load())
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != u.id {
		return u.write(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id, id) && r.ContentLength == 0
	}
	if id == "" {
		u.write(c, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return false
	}
	select {
	case u.slots <- struct{}{}:
	default:
		u.w.note("%s turns %s away", u.id, id)
		u.write(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Load: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id, u.load())
		return false
	}
	defer func() { <-u.slots }()
	return u.work(u, c, r)
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,0,%d", len(u.slots), cap(u.slots))
}

func (u *upstream) write(c net.Conn, format string, values ...any) bool {
	_, err := fmt.Fprintf(c, format, values...)
	return err == nil
}

// success writes a complete success with a body of the given length.
func (u *upstream) success(c net.Conn, id string, length int) bool {
	return u.write(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s.%s\r\nX-Instance-Load: %s\r\nContent-Length: %d\r\n\r\n%s", id, u.id, id, u.load(), length, letters(length))
}

// begin records that the upstream begins to work on a request.
func (u *upstream) begin(r *http.Request) *runOf {
	run := &runOf{upstream: u.id, beganAt: time.Now(), sent: r.ContentLength}
	u.w.addRun(r.Header.Get("X-Attempt-Id"), run)
	return run
}

// read reads the body of a request in parts of 32 KB with a pause after each, into the run.
func (u *upstream) read(r *http.Request, run *runOf, pause time.Duration) bool {
	part := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(part)
		u.w.mu.Lock()
		run.got += int64(n)
		if err != nil {
			run.whole, run.err, run.endedAt = err.Error() == "EOF", err, time.Now()
		}
		u.w.mu.Unlock()
		if err != nil {
			return run.whole
		}
		time.Sleep(pause)
	}
}

// end records that the upstream has ended its work on a request.
func (u *upstream) end(run *runOf, whole bool) {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	run.endedAt, run.whole = time.Now(), whole
}

// letters returns a text of the given length.
func letters(length int) []byte {
	text := make([]byte, length)
	for n := range text {
		text[n] = 'a' + byte(n%26)
	}
	return text
}
