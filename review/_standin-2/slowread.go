package main

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// slowread plays uploads of which some meet an upstream that reads slowly: it begins to work, and
// reads the rest of the body only towards the end of its work. With the disruption, the processes
// get SIGTERM one after the other. Work, budget and sizes are those of provenance-upload.
func slowread(w *world, program, storeAddress string, trouble bool) int {
	const (
		firstBytes = 16 << 10                // what an upstream has read when it begins to work
		work       = 280 * time.Millisecond  // how long usual work takes (mean of work_ms)
		longWork   = 1700 * time.Millisecond // how long the longest work takes (max of work_ms)
		longShare  = 0.1
		budget     = 4 * time.Second // deadline_ms
	)
	w.deploy(program, storeAddress, 6)
	var cut sync.Map // attempt ID to how long the upstream had been at work
	w.onArrival = func(u *upstream, c net.Conn, in *bufio.Reader, r *http.Request, id string) (bool, bool) {
		if !strings.HasPrefix(r.URL.Path, "/upload/") {
			return false, false
		}
		if u.running.Add(1) > int64(u.slots) {
			u.running.Add(-1)
			_, _ = io.Copy(io.Discard, r.Body)
			_, err := io.WriteString(c, "HTTP/1.1 503 X\r\nX-Attempt-Id: "+id+"\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true, err == nil
		}
		defer u.running.Add(-1)
		n, _ := w.runs.LoadOrStore(id, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		began, takes := time.Now(), work
		if rand.Float64() < longShare {
			takes = longWork
		}
		first := make([]byte, min(firstBytes, sentLength(w, id)))
		if _, err := io.ReadFull(r.Body, first); err != nil {
			return true, false
		}
		time.Sleep(takes)
		rest, err := io.ReadAll(r.Body)
		if err != nil {
			cut.Store(id, time.Since(began))
			w.count("uploads whose connection ended while the upstream was at work")
			w.note("%s has been at work on %s for %.2f s and reads on: the connection has ended after %d of %d bytes: %v", u.id, id, time.Since(began).Seconds(), len(first)+len(rest), sentLength(w, id), err)
			return true, false
		}
		_, err = c.Write(u.answer(id, 200, ""))
		return true, err == nil
	}
	if !w.awaitReady(20 * time.Second) {
		w.note("the processes are not ready")
		return 2
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(24 * time.Second)
	b := &balancer{w: w}
	b.run(end)
	var terms [3]atomic.Int64
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			c := &client{w: w}
			defer c.close()
			for time.Now().Before(end) {
				if c.conn == nil {
					if c.e = b.pick(); !c.connect() {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				r := newRequest("unsafe", "/upload/", 0, 200, 60_000+rand.IntN(300_000))
				r.deadline = budget
				sentAt := time.Now()
				if c.send(r) != nil {
					c.close()
					continue
				}
				status, more := c.receive(r)
				took := time.Since(sentAt)
				w.note("%s, an upload of %d bytes sent to %s at %.3f s, is answered %d after %.3f s", r.id, r.body, c.e.name, sentAt.Sub(w.start).Seconds(), status, took.Seconds())
				w.judgeStop(r, c.e, &terms, sentAt, took, budget, status, &cut)
				if !more {
					c.close()
				}
				time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	for i, e := range w.entries {
		if !trouble {
			break
		}
		terms[i].Store(time.Now().UnixNano())
		e.signal(syscall.SIGTERM)
		select {
		case err := <-e.exited:
			w.note("%s has ended: %v", e.name, err)
		case <-time.After(6 * time.Second):
			w.note("%s has not ended after its grace period", e.name)
			_ = e.cmd.Process.Kill()
		}
		terms[i].Store(0)
		time.Sleep(200 * time.Millisecond)
		e.run(program, storeAddress, false)
		time.Sleep(2 * time.Second)
	}
	wg.Wait()
	return w.verdict("unsafe answered 200")
}

// judgeStop checks rule LOST for a request after SIGTERM of the process that took it: the process
// must not give an answer of its own while the upstream is at work, unless its time is up.
func (w *world) judgeStop(r *request, e *entry, terms *[3]atomic.Int64, sentAt time.Time, took, budget time.Duration, status int, cut *sync.Map) {
	if status == 200 || took >= budget-200*time.Millisecond {
		return
	}
	if _, ran := w.runs.Load(r.id); !ran {
		return
	}
	for i := range w.entries {
		term, endedAt := terms[i].Load(), sentAt.Add(took).UnixNano()
		if w.entries[i] != e || term == 0 || endedAt <= term {
			continue
		}
		time.Sleep(1800 * time.Millisecond) // by now the upstream has read on
		if at, known := cut.Load(r.id); known {
			w.breaks("LOST", "%s was passed on; %s, %.2f s after its SIGTERM, broke it off after %.2f s of its %.1f s with an answer of its own, %d; its upstream was at work on it until %.2f s",
				r.id, e.name, float64(endedAt-term)/1e9, took.Seconds(), budget.Seconds(), status, at.(time.Duration).Seconds())
		}
	}
}
