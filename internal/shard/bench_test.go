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

// BenchmarkStep measures one step of a shard in service without a cause. The
// runtime takes one for each answer, thus about 7 a second and server.
func BenchmarkStep(b *testing.B) {
	for _, servers := range []int{10, 20, 100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			w := newWorld(servers)
			h := w.addHolder()
			h.tenure = &authority.Tenure{Since: time.Now(), End: time.Now().Add(time.Hour)}
			t := newTerm(context.Background(), h.runtime, h.tenure, time.Now())
			for len(t.rows) == 0 || !allServing(t) {
				t.step(time.Now())
				t.takeOne()
			}
			b.ReportAllocs()
			for b.Loop() {
				t.step(time.Now())
				t.takeWaitingAnswers()
			}
			t.end(time.Now())
			w.holder = nil
			w.stopAll()
		})
	}
}

func allServing(t *term) bool {
	for _, r := range t.rows {
		if r.phase != serving {
			return false
		}
	}
	return true
}

// takeOne waits for one event of the term.
func (t *term) takeOne() {
	select {
	case a := <-t.answers:
		t.answered(a, time.Now())
	case result := <-t.loads:
		t.loadEnded(result, time.Now())
	case result := <-t.commits:
		t.commitEnded(result, time.Now())
	case <-time.After(10 * time.Millisecond):
	}
}

// BenchmarkObserve measures the cost that a request pays for the sketch, against
// a plain map behind one lock.
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
