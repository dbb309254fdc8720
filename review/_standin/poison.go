package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	poisonPath = "/rail/safe/poison"
	// maxPoisonRetries is how many retries may reach upstreams once the request has crashed
	// three of them and stable_window_s has passed.
	maxPoisonRetries = 3
	poisonInterval   = 400 * time.Millisecond
	firstKill        = 4 * time.Second
	killInterval     = 6 * time.Second
	kills            = 5
	poisonDay        = 36 * time.Second
)

// poison sends, again and again, a request that crashes each upstream that runs it. With
// trouble, the process that last wrote to the store under a condition is killed five times.
func poison(w *world) error {
	w.configure(nil, []string{"rail"})
	for range 9 {
		err := w.addUpstream(&upstream{
			service: "rail", downFor: 3 * time.Second,
			duration: func(*http.Request) time.Duration { return 60 * time.Millisecond },
			crashes:  func(r *http.Request) bool { return r.URL.Path == poisonPath },
		})
		if err != nil {
			return err
		}
	}
	if err := w.startInstances(4); err != nil {
		return err
	}
	var mu sync.Mutex
	var crashes []time.Time
	retries := 0
	sentBy := map[string]*instance{}
	w.onCrash = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		crashes = append(crashes, now)
		if len(crashes) <= 3 || now.Sub(crashes[2]) <= stableWindow || !sentBy[id].inTouch(now) {
			return
		}
		if retries++; retries > maxPoisonRetries {
			w.breaks("BUDGET: attempt %s of the request that crashes upstreams is retry %d that reaches one, through %s, %.1f s after it had crashed the third", id, retries, sentBy[id].name, now.Sub(crashes[2]).Seconds())
		}
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	loop := func(interval time.Duration, send func(n int)) {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					send(n)
				}
			}
		}()
	}
	var lost, answered int
	for k := range 6 {
		c := w.newConsumer()
		loop(60*time.Millisecond, func(n int) {
			status := c.send(w.newID(), w.instances[(n+k)%len(w.instances)], "POST", "/rail/unsafe/order", noKey, 2*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if status == 200 {
				answered++
			} else if status == 502 || status == 0 {
				lost++
			}
		})
	}
	p := w.newConsumer()
	loop(poisonInterval, func(n int) {
		i := w.instances[n%len(w.instances)]
		if !i.isReady() {
			return
		}
		id := w.newID()
		mu.Lock()
		sentBy[id] = i
		mu.Unlock()
		p.send(id, i, "GET", poisonPath, noKey, 1500*time.Millisecond)
	})
	began := time.Now()
	if w.trouble {
		for k := range kills {
			time.Sleep(time.Until(began.Add(firstKill + time.Duration(k)*killInterval)))
			if h := w.holder(); h != nil {
				h.kill(500 * time.Millisecond)
			}
		}
	}
	time.Sleep(time.Until(began.Add(poisonDay)))
	close(stop)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.rec.say("%d upstreams crashed; %d retries counted, %d allowed; of the other requests %d were answered, %d had no answer or 502", len(crashes), retries, maxPoisonRetries, answered, lost)
	return nil
}
