package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// slowReader reads from a connection at a limited pace.
type slowReader struct {
	net net.Conn
}

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return r.net.Read(p[:min(len(p), 4000)])
}

// slowclose plays consumers that read slowly and send further safe requests before the first ones
// have been answered. With the disruption, the process that they are connected to gets SIGTERM.
func slowclose(w *world, program, storeAddress string, trouble bool) int {
	const (
		consumers = 3
		ahead     = 6                       // safe requests that a consumer sends at once
		size      = 25_000                  // the length of an answer; resp_bytes.max of index-search is 30,000
		work      = 80                      // milliseconds
		budget    = 12 * time.Second        // deadline_ms of index-search
		later     = 3200 * time.Millisecond // when the consumer sends its next request
	)
	w.deploy(program, storeAddress, 3)
	if !w.awaitReady(20 * time.Second) {
		w.note("the processes are not ready")
		return 2
	}
	time.Sleep(3 * time.Second)
	e := w.entries[0]
	var termAt atomic.Int64
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
		return err
	}}
	var sent, wg sync.WaitGroup
	for i := range consumers {
		sent.Add(1)
		wg.Go(func() {
			conn, err := dialer.DialContext(context.Background(), "tcp4", e.callers)
			if err != nil {
				sent.Done()
				return
			}
			c := &client{w: w, e: e, conn: conn, in: bufio.NewReaderSize(slowReader{conn}, 4096)}
			defer c.close()
			var batch []*request
			open := true // guarded by mu
			var mu sync.Mutex
			defer func() { mu.Lock(); open = false; mu.Unlock() }()
			send := func() {
				mu.Lock()
				defer mu.Unlock()
				if !open {
					return
				}
				r := newRequest("safe", "/search/", work, size, 0)
				r.deadline = budget
				if err := c.send(r); err != nil {
					w.note("consumer %d can't send %s: %v", i, r.id, err)
				}
				batch = append(batch, r)
			}
			for range ahead {
				send()
			}
			sentAt := time.Now()
			w.note("consumer %d has sent %d requests ahead", i, ahead)
			sent.Done()
			next := make(chan struct{})
			time.AfterFunc(later, func() {
				send()
				if len(batch) > ahead {
					w.note("consumer %d sends one more, %s, while it reads", i, batch[ahead].id)
				}
				close(next)
			})
			for k := range ahead + 1 {
				if k == ahead {
					<-next
				}
				r := batch[k]
				resp, err := http.ReadResponse(c.in, &http.Request{Method: "GET"})
				var body []byte
				if err == nil {
					body, err = io.ReadAll(resp.Body)
				}
				took := time.Since(sentAt)
				if err == nil && len(body) == resp2size(resp, size) {
					w.count(fmt.Sprintf("answers that arrived whole, %d", resp.StatusCode))
					w.note("consumer %d: %s (number %d) is answered %d after %.2f s, close %v", i, r.id, k+1, resp.StatusCode, took.Seconds(), resp.Close)
					if resp.Close {
						return
					}
					continue
				}
				w.note("consumer %d: %s (number %d) has no complete answer after %.2f s: %d bytes, %v", i, r.id, k+1, took.Seconds(), len(body), err)
				<-next
				for j := k; j < len(batch); j++ {
					b := batch[j]
					if _, ran := w.runs.Load(b.id); ran && took < budget {
						w.breaks("LOST", "%s (number %d of consumer %d) was passed on and has run; the connection ended without a complete answer %.2f s after the requests were sent, %.2f s after SIGTERM",
							b.id, j+1, i, took.Seconds(), time.Duration(time.Now().UnixNano()-termAt.Load()).Seconds())
					}
				}
				return
			}
		})
	}
	sent.Wait()
	if trouble {
		time.Sleep(50 * time.Millisecond)
		termAt.Store(time.Now().UnixNano())
		e.signal(syscall.SIGTERM)
		go func() { err := <-e.exited; w.note("%s has ended: %v", e.name, err) }()
	}
	wg.Wait()
	return w.verdict("answers that arrived whole, 200")
}

func resp2size(r *http.Response, size int) int {
	if r.StatusCode == http.StatusOK {
		return size
	}
	return int(max(0, r.ContentLength))
}
