package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// hold is a range of keys that an upstream holds.
type hold struct {
	from, to int
	fence    int64
	until    time.Time
}

// upstream stands for one backend server. It serves one request at a time on a connection.
type upstream struct {
	id, service, zone, address string
	sharded                    bool
	born                       int64
	slots, number              int
	queue                      int
	w                          *world
	listener                   net.Listener
	running                    atomic.Int64
	mu                         sync.Mutex
	holds                      []hold
	fences                     []hold // highest fences seen
	conns                      map[net.Conn]bool
	ended                      atomic.Bool
}

// bodyOf returns n bytes that belong to the ID.
func bodyOf(id string, n int) []byte {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	x := h.Sum64() | 1
	b := make([]byte, n+8)
	for i := 0; i < n; i += 8 {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		binary.LittleEndian.PutUint64(b[i:], x)
	}
	return b[:n]
}

// smallWindow opens listeners whose connections have a small window, so that a peer that does not
// read blocks the writer (DEPLOY.md, "Network").
var smallWindow = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
	_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10) })
	return err
}}

func (w *world) startUpstream(service, zone string, n int, sharded bool, slots int) *upstream {
	l, err := smallWindow.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	u := &upstream{id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone, address: l.Addr().String(), sharded: sharded, born: time.Now().UnixMilli(), slots: slots, number: n, queue: 12, w: w, listener: l, conns: map[net.Conn]bool{}}
	go u.accept()
	go u.beat()
	return u
}

func (u *upstream) beat() {
	for n := 1; !u.ended.Load(); n++ {
		u.w.store.Put("servers/"+u.id, map[string]any{"address": u.address, "born": u.born,
			"info":   map[string]any{"service": u.service, "zone": u.zone, "version": "v1", "slots": u.slots},
			"status": map[string]any{"state": "ready", "sequence": n, "cold_remaining_s": 0}})
		time.Sleep(1500 * time.Millisecond)
	}
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c)
	}
}

func (u *upstream) serve(c net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		switch {
		case r.URL.Path == "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Instance-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n", u.id, u.running.Load(), u.slots)
		case r.URL.Path == "/grant" || r.URL.Path == "/release":
			u.order(c, r)
		default:
			if !u.request(c, in, r) {
				return
			}
		}
	}
}

func (u *upstream) order(c net.Conn, r *http.Request) {
	var o struct {
		From  int     `json:"from"`
		To    int     `json:"to"`
		Fence int64   `json:"fence"`
		Hold  float64 `json:"hold_s"`
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	_, _ = io.Copy(io.Discard, r.Body)
	status, extra := 200, ""
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != u.id {
		status = 421
	} else if err != nil {
		status = 400
	} else {
		u.mu.Lock()
		if r.URL.Path == "/grant" {
			for _, f := range u.fences {
				if f.from <= o.To && f.to >= o.From && f.fence > o.Fence {
					status = 409
				}
			}
			if status == 200 {
				u.cut(o.From, o.To)
				u.holds = append(u.holds, hold{o.From, o.To, o.Fence, time.Now().Add(time.Duration(o.Hold * float64(time.Second)))})
				u.fences = append(u.fences, hold{from: o.From, to: o.To, fence: o.Fence})
				if len(u.fences) > 4000 {
					u.fences = u.fences[2000:]
				}
			}
		} else {
			u.cut(o.From, o.To)
			extra = "X-Handover: 5c0e7a21d94b36f8\r\n"
		}
		u.mu.Unlock()
	}
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, extra)
}

func (u *upstream) cut(from, to int) {
	var out []hold
	for _, h := range u.holds {
		if h.to < from || h.from > to {
			out = append(out, h)
			continue
		}
		if h.from < from {
			out = append(out, hold{h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			out = append(out, hold{to + 1, h.to, h.fence, h.until})
		}
	}
	u.holds = out
}

func (u *upstream) holdsKey(k int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for _, h := range u.holds {
		if h.from <= k && k <= h.to && now.Before(h.until) {
			return true
		}
	}
	return false
}

// request serves one request. It reports whether the connection goes on.
func (u *upstream) request(c net.Conn, in *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	u.w.arrived(u, r, id)
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != u.id {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprintf(c, "HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, u.id)
		return true
	}
	if f := u.w.onArrival; f != nil {
		if done, more := f(u, c, in, r, id); done {
			return more
		}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.w.note("upstream %s: body of %s broke off after %d bytes", u.id, id, len(body))
		return false
	}
	if k := r.Header.Get("X-Shard-Key"); u.sharded && k != "" {
		n, _ := strconv.Atoi(k)
		if !u.holdsKey(n) {
			fmt.Fprintf(c, "HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			return true
		}
	}
	if u.running.Add(1) > int64(u.slots+u.queue) {
		u.running.Add(-1)
		fmt.Fprintf(c, "HTTP/1.1 503 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	defer u.running.Add(-1)
	u.w.ran(u, r, id, body)
	q := r.URL.Query()
	work, _ := strconv.Atoi(q.Get("work"))
	size, _ := strconv.Atoi(q.Get("size"))
	time.Sleep(time.Duration(work) * time.Millisecond)
	_, err = c.Write(u.answer(id, size, ""))
	return err == nil
}

// answer is a complete answer with a stamp that names the request.
func (u *upstream) answer(id string, size int, extra string) []byte {
	b := bodyOf(id, size)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s.%s\r\nX-Instance-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n", id, id, u.running.Load(), u.slots, extra, size)
	return append([]byte(head), b...)
}

func (u *upstream) end() {
	u.ended.Store(true)
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}
