package admission

import (
	"container/heap"
	"context"
	"sync"
	"testing"
	"time"
)

// mutexLimiter is the plain version that the benchmarks compare with: a mutex and a
// heap of waiters by deadline, without early refusal, pacing and observation.
type mutexLimiter struct {
	mu    sync.Mutex
	queue queue
	busy  int
	max   int
}

func (g *mutexLimiter) acquire(deadline time.Time) bool {
	g.mu.Lock()
	if g.busy < g.max {
		g.busy++
		g.mu.Unlock()
		return true
	}
	w := &waiter{deadline: deadline, wake: make(chan struct{}, 1)}
	g.queue.add(w)
	g.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.wake:
		return true
	case <-timer.C:
		return !w.settle(waiterLeft)
	}
}

func (g *mutexLimiter) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.queue.Len() > 0 {
		w := heap.Pop(&g.queue).(*waiter)
		if w.settle(waiterGranted) {
			w.wake <- struct{}{}
			return
		}
	}
	g.busy--
}

func benchmarkGate(b *testing.B, slots int, result Result) {
	g := New(Options{Server: "s", Slots: slots, QueueLimit: maxWaiting})
	defer g.Close()
	ctx := context.Background()
	now := time.Now()
	deadline := now.Add(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			slot, err := g.Acquire(ctx, deadline, 0, now)
			if err != nil {
				b.Error(err)
				return
			}
			slot.Release(result)
		}
	})
}

// BenchmarkGateFast takes a slot that is free.
func BenchmarkGateFast(b *testing.B) { benchmarkGate(b, maxSlots, Result{}) }

// BenchmarkGateFastObserved also feeds latency and cold detection, as a request does.
func BenchmarkGateFastObserved(b *testing.B) {
	benchmarkGate(b, maxSlots, Result{Kind: Success, Latency: time.Millisecond})
}

// BenchmarkGateContended has more goroutines than slots: most pass the queue.
func BenchmarkGateContended(b *testing.B) {
	b.SetParallelism(8)
	benchmarkGate(b, 3, Result{})
}

func benchmarkMutex(b *testing.B, slots int) {
	g := &mutexLimiter{max: slots}
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g.acquire(deadline)
			g.release()
		}
	})
}

// BenchmarkMutexFast and BenchmarkMutexContended are the plain versions.
func BenchmarkMutexFast(b *testing.B) { benchmarkMutex(b, maxSlots) }

func BenchmarkMutexContended(b *testing.B) {
	b.SetParallelism(8)
	benchmarkMutex(b, 3)
}
