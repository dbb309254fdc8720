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
	"time"
)

// early plays uploads to upstreams, some of which answer some long requests before they have read
// the body, keep the connection and read on later. Without the disruption all read the body first.
func early(w *world, program, storeAddress string, trouble bool) int {
	const (
		firstBytes = 16 << 10               // what an upstream has read of a long body when it answers
		laterBy    = 60 * time.Millisecond  // how much later it reads on
		longBody   = 64 << 10               // bodies from this length on are long
		work       = 100 * time.Millisecond // how long the work takes
		share      = 0.4                    // the part of the long requests that is answered early
	)
	w.deploy(program, storeAddress, 3)
	var inTrouble atomic.Bool
	type outcome struct {
		upstream  string
		got, want int
		early     bool
		err       error
	}
	var kept sync.Map // attempt ID to outcome
	w.onArrival = func(u *upstream, c net.Conn, in *bufio.Reader, r *http.Request, id string) (bool, bool) {
		if !strings.HasPrefix(r.URL.Path, "/upload/") {
			return false, false
		}
		if u.running.Add(1) > int64(u.slots+u.queue) {
			u.running.Add(-1)
			_, _ = io.Copy(io.Discard, r.Body)
			_, err := io.WriteString(c, "HTTP/1.1 503 X\r\nX-Attempt-Id: "+id+"\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true, err == nil
		}
		defer u.running.Add(-1)
		want := bodyOf("body"+id, sentLength(w, id))
		n, _ := w.runs.LoadOrStore(id, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		o := outcome{upstream: u.id, want: len(want)}
		o.early = inTrouble.Load() && len(want) >= longBody && u.number < 2 && rand.Float64() < share
		first := make([]byte, min(firstBytes, len(want)))
		if _, err := io.ReadFull(r.Body, first); err != nil {
			return true, false
		}
		time.Sleep(work)
		var rest []byte
		if !o.early {
			if rest, o.err = io.ReadAll(r.Body); o.err != nil {
				return true, false // the connection has ended: the work is dropped
			}
		}
		if _, err := c.Write(u.answer(id, 200, "")); err != nil {
			return true, false
		}
		if o.early {
			time.Sleep(laterBy)
			rest, o.err = io.ReadAll(r.Body)
		}
		o.got = len(first) + len(rest)
		if o.err == nil && string(first)+string(rest) != string(want) {
			w.breaks("UNASKED", "%s gets other bytes where the rest of the body of %s is due", u.id, id)
		}
		kept.Store(id, o)
		return true, o.err == nil
	}
	if !w.awaitReady(20 * time.Second) {
		w.note("the processes are not ready")
		return 2
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(10 * time.Second)
	if trouble {
		w.note("two of the three upstreams of atelier answer 40 in 100 long requests early, for 6 s")
		inTrouble.Store(true)
		time.AfterFunc(6*time.Second, func() {
			inTrouble.Store(false)
			w.note("they read each body first again")
		})
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			c := &client{w: w, e: w.entries[i%3]}
			defer c.close()
			for time.Now().Before(end) {
				if !c.connect() {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				r := newRequest("unsafe", "/upload/", 0, 200, 20_000+rand.IntN(340_000))
				sentAt := time.Now()
				if c.send(r) != nil {
					c.close()
					continue
				}
				status, more := c.receive(r)
				time.Sleep(150 * time.Millisecond) // the upstream has read on by now
				value, _ := kept.Load(r.id)
				o, _ := value.(outcome)
				w.note("%s, an upload of %d bytes sent at %.3f s, is answered %d; upstream %s has %d bytes of it, answered early: %v, %v",
					r.id, r.body, sentAt.Sub(w.start).Seconds(), status, o.upstream, o.got, o.early, o.err)
				if status == 200 {
					w.count("uploads that the consumer was told to be done")
					if o.got != r.body {
						w.breaks("UNASKED", "%s was answered 200 with the stamp of %s, which has run it and got %d of its %d bytes", r.id, o.upstream, o.got, r.body)
					}
				}
				if !more {
					c.close()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return w.verdict("uploads that the consumer was told to be done")
}

func sentLength(w *world, id string) int {
	n, _ := w.bodies.Load(id)
	length, _ := n.(int)
	return length
}
