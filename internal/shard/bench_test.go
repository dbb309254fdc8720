package shard

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// BenchmarkStep measures one step of a shard in service that has nothing to do. The
// runtime takes one for each response, thus about 7 per second and server.
func BenchmarkStep(b *testing.B) {
	for _, servers := range []int{10, 20, 100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			tc := newTestCluster(servers)
			instance := tc.addInstance()
			instance.tenure = &authority.Tenure{Since: time.Now(), End: time.Now().Add(time.Hour)}
			c := newCoordinator(context.Background(), instance.runtime, instance.tenure, time.Now())
			for len(c.ranges) == 0 || !allServing(c) {
				c.step(time.Now())
				c.handleOneEvent()
			}
			b.ReportAllocs()
			for b.Loop() {
				c.step(time.Now())
				c.handlePendingCallResults()
			}
			c.end(time.Now())
			tc.currentHolder = nil
			tc.stopAll()
		})
	}
}

func allServing(c *coordinator) bool {
	for _, r := range c.ranges {
		if r.phase != serving {
			return false
		}
	}
	return true
}

// handleOneEvent waits for one event of the coordinator and handles it.
func (c *coordinator) handleOneEvent() {
	select {
	case result := <-c.callResults:
		c.handleCallResult(result, time.Now())
	case result := <-c.loadResults:
		c.handleLoadResult(result, time.Now())
	case result := <-c.commitResults:
		c.handleCommitResult(result, time.Now())
	case <-time.After(10 * time.Millisecond):
	}
}

// BenchmarkObserve measures what the sketch costs a request, compared with a map behind
// one lock.
func BenchmarkObserve(b *testing.B) {
	b.Run("sampler", func(b *testing.B) {
		r := New(Options{})
		b.RunParallel(func(pb *testing.PB) {
			for h := key.Hash(0); pb.Next(); h++ {
				r.Observe(h % 1024)
			}
		})
	})
	b.Run("naive", func(b *testing.B) {
		var mu sync.Mutex
		counts := map[key.Hash]int{}
		b.RunParallel(func(pb *testing.PB) {
			for h := key.Hash(0); pb.Next(); h++ {
				mu.Lock()
				counts[h%1024]++
				mu.Unlock()
			}
		})
	})
}
