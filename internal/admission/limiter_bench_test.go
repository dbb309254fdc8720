package admission

import (
	"container/heap"
	"context"
	"sync"
	"testing"
	"time"
)

// mutexLimiter is the baseline of the benchmarks: a mutex and a heap of waiters by
// deadline, without early refusal, pacing and observation.
type mutexLimiter struct {
	mu    sync.Mutex
	queue queue
	busy  int
	max   int
}

func (l *mutexLimiter) acquire(deadline time.Time) bool {
	l.mu.Lock()
	if l.busy < l.max {
		l.busy++
		l.mu.Unlock()
		return true
	}
	w := &waiter{deadline: deadline, wake: make(chan struct{}, 1)}
	l.queue.add(w)
	l.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.wake:
		return true
	case <-timer.C:
		return !w.settle(waiterLeft)
	}
}

func (l *mutexLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.queue.Len() > 0 {
		w := heap.Pop(&l.queue).(*waiter)
		if w.settle(waiterGranted) {
			w.wake <- struct{}{}
			return
		}
	}
	l.busy--
}

func benchmarkLimiter(b *testing.B, slots int, result Result) {
	l := New(Options{Server: "s", Slots: slots, QueueLimit: maxWaiting})
	defer l.Close()
	ctx := context.Background()
	now := time.Now()
	deadline := now.Add(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			slot, err := l.Acquire(ctx, deadline, 0, now)
			if err != nil {
				b.Error(err)
				return
			}
			slot.Release(result)
		}
	})
}

// BenchmarkGateFast takes a slot that is free.
func BenchmarkGateFast(b *testing.B) { benchmarkLimiter(b, maxSlots, Result{}) }

// BenchmarkGateFastObserved also updates latency and cold detection, as a request does.
func BenchmarkGateFastObserved(b *testing.B) {
	benchmarkLimiter(b, maxSlots, Result{Kind: Success, Latency: time.Millisecond})
}

// BenchmarkGateContended has more goroutines than slots: most pass the queue.
func BenchmarkGateContended(b *testing.B) {
	b.SetParallelism(8)
	benchmarkLimiter(b, 3, Result{})
}

func benchmarkMutex(b *testing.B, slots int) {
	l := &mutexLimiter{max: slots}
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.acquire(deadline)
			l.release()
		}
	})
}

// BenchmarkMutexFast and BenchmarkMutexContended measure the baseline.
func BenchmarkMutexFast(b *testing.B) { benchmarkMutex(b, maxSlots) }

func BenchmarkMutexContended(b *testing.B) {
	b.SetParallelism(8)
	benchmarkMutex(b, 3)
}
