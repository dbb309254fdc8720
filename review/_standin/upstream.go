package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	slots         = 3
	queueLength   = 12
	beatInterval  = 500 * time.Millisecond
	entryLifetime = 3 * beatInterval
	noKey         = -1
)

// upstream is one upstream over its lives. It behaves as PROTOCOL.md says.
type upstream struct {
	w       *world
	service string
	zone    string
	address string
	keyed   bool
	// duration returns how long a request takes.
	duration func(*http.Request) time.Duration
	// crashes reports whether the request crashes the upstream, or is nil.
	crashes func(*http.Request) bool
	// downFor is how long the upstream is down after a crash.
	downFor time.Duration
	// beforeOrder, if set, is called with each grant or release that has arrived and returns
	// bytes to send before its answer.
	beforeOrder func(path string, c *upstreamConn) []byte

	mu       sync.Mutex
	id       string
	born     int64
	life     int
	sequence int
	state    string
	up       bool
	listener net.Listener
	conns    map[*upstreamConn]bool
	grants   []grant
	fences   []grant // the highest fences that were seen, as grants without an end
	running  map[*work]bool
	waiting  int
	answers  int
}

// start begins a life.
func (u *upstream) start() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	listener, err := net.Listen("tcp4", u.address)
	if err != nil {
		return err
	}
	u.life++
	u.id = fmt.Sprintf("i-%s-%d", u.address[len(u.address)-5:], u.life)
	u.born, u.sequence, u.state, u.up = time.Now().UnixMilli(), 0, "ready", true
	u.address = listener.Addr().String()
	u.listener, u.conns = listener, map[*upstreamConn]bool{}
	u.grants, u.fences, u.running, u.waiting = nil, nil, map[*work]bool{}, 0
	u.w.rec.log("upstream %s (%s, %s) starts at %s", u.id, u.service, u.zone, u.address)
	go u.accept(listener, u.life)
	go u.beat(u.life)
	return nil
}

// crash ends a life: connections are reset and nothing is told to the store.
func (u *upstream) crash(life int) {
	u.mu.Lock()
	if !u.up || u.life != life {
		u.mu.Unlock()
		return
	}
	u.up = false
	id := u.id
	u.w.rec.log("upstream %s crashes with %d requests in progress", id, len(u.running))
	_ = u.listener.Close()
	for c := range u.conns {
		c.reset()
	}
	u.mu.Unlock()
	time.AfterFunc(entryLifetime, func() { u.w.store.Store().Delete("servers/" + id) })
	if u.downFor > 0 {
		time.AfterFunc(u.downFor, func() {
			if err := u.start(); err != nil {
				u.w.fail("restart of an upstream: " + err.Error())
			}
		})
	}
}

func (u *upstream) accept(listener net.Listener, life int) {
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		c := &upstreamConn{Conn: raw, life: life}
		u.mu.Lock()
		alive := u.up && u.life == life
		if alive {
			u.conns[c] = true
		}
		u.mu.Unlock()
		if !alive {
			c.reset()
			continue
		}
		go u.serve(c)
	}
}

// beat writes the entry of the upstream into the store.
func (u *upstream) beat(life int) {
	for {
		u.mu.Lock()
		if !u.up || u.life != life {
			u.mu.Unlock()
			return
		}
		u.sequence++
		text, _ := json.Marshal(map[string]any{
			"address": u.address, "born": u.born,
			"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": slots},
			"status": map[string]any{"state": u.state, "sequence": u.sequence, "cold_remaining_s": 0},
		})
		key := "servers/" + u.id
		u.mu.Unlock()
		u.w.store.Store().Put(key, text)
		time.Sleep(beatInterval)
	}
}

// drain makes the upstream report that it is leaving. It goes on serving.
func (u *upstream) drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = "draining"
	u.w.rec.log("upstream %s reports draining", u.id)
}

func (u *upstream) serve(c *upstreamConn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		answer := u.answer(c, request, body)
		if answer == nil {
			return
		}
		u.mu.Lock()
		u.answers++
		u.mu.Unlock()
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

func (u *upstream) answer(c *upstreamConn, request *http.Request, body []byte) []byte {
	expected := request.Header.Get("X-Expect-Instance")
	if expected != "" && expected != u.id {
		return response(421, "", map[string]string{"X-Instance-Id": u.id, "X-Not-Executed": "1", "X-Attempt-Id": request.Header.Get("X-Attempt-Id")})
	}
	switch request.URL.Path {
	case "/health":
		return response(200, "", map[string]string{"X-Instance-Id": u.id})
	case "/grant", "/release":
		var order grantWire
		if json.Unmarshal(body, &order) != nil {
			return response(400, "", nil)
		}
		if u.beforeOrder != nil {
			if extra := u.beforeOrder(request.URL.Path, c); extra != nil {
				if _, err := c.Write(extra); err != nil {
					return nil
				}
			}
		}
		if request.URL.Path == "/grant" {
			out := u.grant(order)
			c.lastGrantAnswer = out
			return out
		}
		return u.release(order)
	}
	return u.run(c, request)
}

func (u *upstream) grant(order grantWire) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for _, f := range u.fences {
		if f.from <= order.To && f.to >= order.From && f.fence > order.Fence {
			u.w.rec.log("upstream %s answers 409 to the grant of %d to %d, fence %d", u.id, order.From, order.To, order.Fence)
			return response(409, "", nil)
		}
	}
	g := grant{from: order.From, to: order.To, fence: order.Fence, until: now.Add(time.Duration(order.HoldS * float64(time.Second)))}
	renewed := false
	var kept []grant
	for _, old := range u.grants {
		if old.from == g.from && old.to == g.to {
			renewed = true
			continue
		}
		if old.until.After(now) {
			kept = append(kept, old)
		}
	}
	u.grants = append(kept, g)
	u.fences = append(u.fences, grant{from: g.from, to: g.to, fence: g.fence})
	if !renewed {
		u.w.rec.log("upstream %s takes keys %d to %d, fence %d, for %.1f s", u.id, g.from, g.to, g.fence, order.HoldS)
	}
	u.w.owners.granted(u, g)
	return response(200, "", nil)
}

// release stops new work on the keys at once and answers when the running work has ended.
func (u *upstream) release(order grantWire) []byte {
	u.mu.Lock()
	now := time.Now()
	var kept []grant
	for _, g := range u.grants {
		if g.to < order.From || g.from > order.To {
			kept = append(kept, g)
			continue
		}
		if g.from < order.From {
			kept = append(kept, grant{from: g.from, to: order.From - 1, fence: g.fence, until: g.until})
		}
		if g.to > order.To {
			kept = append(kept, grant{from: order.To + 1, to: g.to, fence: g.fence, until: g.until})
		}
	}
	u.grants = kept
	u.w.owners.release(u, order)
	u.mu.Unlock()
	u.w.rec.log("upstream %s gets the release of %d to %d, fence %d", u.id, order.From, order.To, order.Fence)
	for u.busyWithin(order.From, order.To) {
		time.Sleep(5 * time.Millisecond)
	}
	u.w.rec.log("upstream %s answers the release of %d to %d after %d ms", u.id, order.From, order.To, time.Since(now).Milliseconds())
	return response(200, "", map[string]string{"X-Handover": strconv.FormatInt(now.UnixNano(), 16)})
}

func (u *upstream) busyWithin(from, to int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for w := range u.running {
		if w.key >= from && w.key <= to {
			return true
		}
	}
	return false
}

// holds reports whether the upstream holds the key. u.mu must be held.
func (u *upstream) holds(key int) bool {
	for _, g := range u.grants {
		if g.covers(key) && time.Now().Before(g.until) {
			return true
		}
	}
	return false
}

func (u *upstream) run(c *upstreamConn, request *http.Request) []byte {
	id := request.Header.Get("X-Attempt-Id")
	headers := map[string]string{"X-Attempt-Id": id}
	refuse := func(status int) []byte {
		headers["X-Not-Executed"] = "1"
		return response(status, "", headers)
	}
	key := noKey
	if u.keyed {
		key, _ = strconv.Atoi(request.Header.Get("X-Shard-Key"))
	}
	left, _ := strconv.ParseFloat(request.Header.Get("X-Deadline-Ms"), 64)
	deadline := time.Now().Add(time.Duration(left * float64(time.Millisecond)))
	u.mu.Lock()
	if u.waiting >= queueLength {
		u.mu.Unlock()
		return refuse(503)
	}
	for u.waiting++; len(u.running) >= slots; {
		u.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		u.mu.Lock()
		if time.Now().After(deadline) {
			u.waiting--
			u.mu.Unlock()
			return refuse(503)
		}
	}
	u.waiting--
	if u.keyed && !u.holds(key) {
		u.mu.Unlock()
		return refuse(421)
	}
	w := &work{id: id, key: key, began: time.Now()}
	u.running[w] = true
	u.w.owners.began(u, w)
	life := u.life
	u.mu.Unlock()
	if u.w.onRun != nil {
		u.w.onRun(u, request)
	}
	u.w.rec.log("upstream %s runs request %s, %s, key %d", u.id, id, request.RequestURI, key)
	if u.crashes != nil && u.crashes(request) {
		time.Sleep(30 * time.Millisecond)
		u.w.owners.ended(u, w)
		u.w.crashedBy(id)
		u.crash(life)
		return nil
	}
	time.Sleep(min(u.duration(request), time.Until(deadline)))
	u.mu.Lock()
	delete(u.running, w)
	u.w.owners.ended(u, w)
	alive := u.up && u.life == life
	u.mu.Unlock()
	if !alive {
		return nil
	}
	headers["X-Response-Stamp"] = u.id + "." + id
	return response(200, "done by "+u.id+" for "+id, headers)
}

func response(status int, body string, headers map[string]string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range headers {
		if value != "" {
			fmt.Fprintf(&out, "%s: %s\r\n", name, value)
		}
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return out.Bytes()
}
