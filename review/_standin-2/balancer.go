package main

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// balancer stands for the platform's: it asks each process once a second and takes it out after two misses.
type balancer struct {
	w   *world
	out [64]atomic.Bool
}

func (b *balancer) run(end time.Time) {
	for i, e := range b.w.entries {
		go func() {
			misses := 0
			for time.Now().Before(end) {
				if e.isReady() {
					misses = 0
				} else {
					misses++
				}
				b.out[i].Store(misses >= 2)
				time.Sleep(time.Second)
			}
		}()
	}
}

func (b *balancer) pick() *entry {
	var in []*entry
	for i, e := range b.w.entries {
		if !b.out[i].Load() {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		in = b.w.entries
	}
	return in[rand.IntN(len(in))]
}
