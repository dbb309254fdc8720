package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	longPath = "/rail/safe/long"
	longWork = 900 * time.Millisecond
	// drainAt is when the first upstream reports that it is leaving.
	drainAt  = 6 * time.Second
	extraDay = 12 * time.Second
	// minAnswers is how many answers an upstream has sent before one of them is written
	// twice: garble spoils at most 3 in 100 (how: extra late) of its answers.
	minAnswers = 34
)

// extraAnswer lets an upstream leave. With trouble, that upstream writes one answer twice:
// the second copy of an earlier answer arrives late, where the next one is expected.
func extraAnswer(w *world) error {
	w.configure([]string{"rail"}, nil)
	for range 3 {
		err := w.addUpstream(&upstream{service: "rail", keyed: true, duration: func(r *http.Request) time.Duration {
			if r.URL.Path == longPath {
				return longWork
			}
			return 40 * time.Millisecond
		}})
		if err != nil {
			return err
		}
	}
	if err := w.startInstances(3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // until all keys are granted
	leaving := w.upstreams[0]
	key := leaving.firstKey()
	if key == noKey {
		w.fail("the first upstream holds no key")
		return nil
	}
	var extra atomic.Bool
	leaving.beforeOrder = func(path string, c *upstreamConn) []byte {
		if !w.trouble || path != "/release" || c.lastGrantAnswer == nil || leaving.answered() < minAnswers || extra.Swap(true) {
			return nil
		}
		w.rec.say("upstream %s, after %d answers, writes the answer to a grant once more, where the answer to a release is expected", leaving.id, leaving.answered())
		return c.lastGrantAnswer
	}
	began := time.Now()
	var all sync.WaitGroup
	loop := func(interval time.Duration, send func(n int)) {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; time.Since(began) < extraDay; n++ {
				send(n)
				time.Sleep(interval)
			}
		}()
	}
	front := func(n int) *instance { // consumers of the instances that aren't the holder
		i := w.instances[n%len(w.instances)]
		if i == w.holder() {
			i = w.instances[(n+1)%len(w.instances)]
		}
		return i
	}
	for k := range 3 {
		c := w.newConsumer()
		loop(50*time.Millisecond, func(n int) {
			c.send(w.newID(), front(n), "GET", "/rail/safe/short", (n*7919+k*21845)%65536, 1500*time.Millisecond)
		})
	}
	for range 2 {
		c := w.newConsumer()
		loop(20*time.Millisecond, func(n int) { c.send(w.newID(), front(n), "GET", longPath, key, 1900*time.Millisecond) })
	}
	time.Sleep(time.Until(began.Add(drainAt)))
	leaving.drain()
	all.Wait()
	if w.trouble && !extra.Load() {
		w.fail("no release came over a connection that had carried a grant")
	}
	return nil
}

// firstKey returns a key that the upstream holds, or noKey.
func (u *upstream) firstKey() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, g := range u.grants {
		return (g.from + g.to) / 2
	}
	return noKey
}

// answered returns how many answers the upstream has sent.
func (u *upstream) answered() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.answers
}
