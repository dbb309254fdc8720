package main

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

// earlyUpload: upstreams answer an upload before they have read it, keep the connection and
// read on. Without the disruption they read it first. Its consumers leave nothing out.
func earlyUpload(w *world) bool {
	return uploads(w, 800_000, 200)
}

// earlyLongAnswer is the same with shorter uploads, which the system has in memory, and long
// answers.
func earlyLongAnswer(w *world) bool {
	return uploads(w, 400_000, 300_000)
}

// Upstreams begin to read an upload after readDelay, and read 32 KB each readPause: 6.4 MB/s.
const (
	readDelay = 150 * time.Millisecond
	readPause = 5 * time.Millisecond
	// uploadBudget is how long consumers wait, and uploadWait how long the stand-in waits for
	// the upstreams after the last answer.
	uploadBudget = 2000
	uploadWait   = 3 * time.Second
)

func uploads(w *world, length, answerLength int) bool {
	const service, consumers, each = "atelier", 6, 4
	w.configure([]string{service}, []route{{prefix: "/leny950/", kind: "upload", service: service, timeout: 2}})
	w.addUpstreams(service, 6, 0, func(u *upstream, c *upstreamConn, r *http.Request) bool {
		id, run := r.Header.Get("X-Attempt-Id"), u.begin(r)
		if w.trouble && !u.success(c, id, answerLength) {
			return false
		}
		time.Sleep(readDelay)
		whole := u.read(r, run, readPause)
		w.note("%s: upload %s: %d of %d bytes, whole %v, after %d ms, error %v", u.id, id, run.got, run.sent, whole, run.endedAt.Sub(run.beganAt).Milliseconds(), run.err)
		if !w.trouble && whole {
			return u.success(c, id, answerLength)
		}
		return whole
	})
	w.addMachines(3)
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	body := bytes.Repeat([]byte("photograph "), length/11+1)[:length]
	for n := range consumers {
		group.Go(func() {
			for range each {
				c, err := dial(w.machines[n%len(w.machines)].front)
				check(err)
				id := w.newID()
				w.note("upload %s of %d bytes is sent to %s", id, length, w.machines[n%len(w.machines)].name)
				a := c.send(http.MethodPost, "/leny950/2f", id, uploadBudget, body, 0)
				w.note("upload %s is answered: %v", id, a)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(uploadWait / 2) // the connection stays open
				_ = c.Close()
			}
		})
	}
	group.Wait()
	time.Sleep(uploadWait)
	succeeded, cut := 0, 0
	for id, a := range answers {
		if !a.isSuccess(id) {
			continue
		}
		succeeded++
		runs := w.runsOf(id)
		if last := runs[len(runs)-1]; !last.whole {
			cut++
			w.note("upload %s: its consumer has a whole success, and %s got %d of %d bytes", id, last.upstream, last.got, length)
		}
	}
	w.note("%d uploads, %d answered with success, %d of these cut", len(answers), succeeded, cut)
	if succeeded == 0 {
		panic("no upload was answered with success")
	}
	return cut > 0
}
