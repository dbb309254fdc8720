package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// scanLength is the length of a large answer, and scanPart how much of it a faulty upstream
	// sends before it ends the connection.
	scanLength, scanPart = 400_000, 300_000
	// faultyAnswers is of how many answers a faulty upstream breaks one off (x of garble is .02),
	// and faultyUpstreams how many of the six are faulty (its share is .5).
	faultyAnswers   = 50
	faultyUpstreams = 3
	// lookupWork is how long an upstream works on a lookup, and lookups how many a consumer sends
	// behind its request for a scan.
	lookupWork = 40 * time.Millisecond
	scanWork   = 10 * time.Millisecond
	lookups    = 3
	// readBudget is how long consumers wait, in ms.
	readBudget = 4000
	// maxCut is how many requests of a machine may be cut off.
	maxCut = 3
	// roundPause is the pause between two rounds of a consumer, and pipelineTime for how long
	// they send.
	roundPause   = 80 * time.Millisecond
	pipelineTime = 40 * time.Second
)

// lookup is a request that was sent behind one for a scan.
type lookup struct {
	id      string
	machine *machine
	answer  answer
}

// pipelined: consumers ask for a large answer and send lookups behind it. A faulty upstream
// breaks off some of the large answers; those of the lookups are sound.
func pipelined(w *world) bool {
	const archive, desk = "archive", "desk"
	w.configure([]string{archive, desk}, []route{{prefix: "/scan/", kind: "download", service: archive, timeout: 4}, {prefix: "/desk/", kind: "safe", service: desk, timeout: 4}})
	var mu sync.Mutex
	scans := map[string]int{}
	w.addUpstreams(archive, 6, 0, func(u *upstream, c *upstreamConn, r *http.Request) bool {
		id, run := r.Header.Get("X-Attempt-Id"), u.begin(r)
		time.Sleep(scanWork)
		mu.Lock()
		scans[u.id]++
		faulty := w.trouble && u.number < faultyUpstreams && scans[u.id]%faultyAnswers == 0
		mu.Unlock()
		defer u.end(run, !faulty)
		if faulty {
			w.note("%s breaks off the answer to scan %s", u.id, id)
			u.write(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, u.id, id, scanLength, letters(scanPart))
			return false
		}
		return u.success(c, id, scanLength)
	})
	w.addUpstreams(desk, 9, 0, func(u *upstream, c *upstreamConn, r *http.Request) bool {
		id, run := r.Header.Get("X-Attempt-Id"), u.begin(r)
		time.Sleep(lookupWork)
		defer u.end(run, true)
		return u.success(c, id, 300)
	})
	w.addMachines(3)
	begin := time.Now()
	var group sync.WaitGroup
	var sent []lookup
	for n := range 6 {
		group.Go(func() {
			m := w.machines[n%3]
			for time.Since(begin) < pipelineTime {
				behind := w.readBehind(m)
				mu.Lock()
				sent = append(sent, behind...)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	broken := false
	for _, m := range w.machines {
		cut, all := 0, 0
		for _, l := range sent {
			if l.machine != m {
				continue
			}
			all++
			if runs := w.runsOf(l.id); l.answer.status == 0 && len(runs) > 0 && l.answer.took < readBudget*time.Millisecond-50*time.Millisecond {
				cut++
				w.note("lookup %s: it was passed on to %s, and its connection was closed without an answer", l.id, runs[0].upstream)
			}
		}
		w.note("%s: %d lookups, %d of them passed on and cut off", m.name, all, cut)
		broken = broken || cut > maxCut
	}
	return broken
}

// readBehind sends a few rounds of a request for a scan and lookups behind it on one connection,
// and returns the lookups.
func (w *world) readBehind(m *machine) []lookup {
	c, err := dial(m.front)
	check(err)
	defer c.Close()
	var out []lookup
	for range 10 {
		scan, sentAt := w.newID(), time.Now()
		_ = c.SetDeadline(sentAt.Add(readBudget * time.Millisecond))
		bytes := request(http.MethodGet, "/scan/2f", scan, readBudget, nil)
		round := []lookup{}
		for range lookups {
			l := lookup{id: w.newID(), machine: m}
			bytes = append(bytes, request(http.MethodGet, "/desk/7", l.id, readBudget, nil)...)
			round = append(round, l)
		}
		_, err := c.Write(bytes)
		check(err)
		first := c.receive(http.MethodGet, sentAt, 0)
		line := fmt.Sprintf("scan %s at %s: %v; behind it", scan, m.name, first)
		broken := first.err != nil
		for n := range round {
			round[n].answer = c.receive(http.MethodGet, sentAt, 0)
			line += fmt.Sprintf(" %s (status %d, error %v)", round[n].id, round[n].answer.status, round[n].answer.err)
			broken = broken || round[n].answer.err != nil || round[n].answer.closes
		}
		w.note("%s", line)
		out = append(out, round...)
		if broken || first.closes {
			break
		}
		time.Sleep(roundPause)
	}
	return out
}
