package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"peridotmoor.org/peridotmoor/internal/request"
)

// openLoop generates open-loop load: it sends requests at exponentially distributed
// intervals, whether or not earlier ones have ended. Latency counts from the scheduled
// time of each request.
type openLoop struct {
	rate     float64 // requests/s
	duration time.Duration
	timeout  time.Duration
	seed     uint64
}

// loadResult holds the results as seen by the callers, in virtual time.
type loadResult struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram // microseconds, answered requests only
	sent     int
	answered int
	failed   int
}

func (r *loadResult) add(latency time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		r.failed++
		return
	}
	r.answered++
	_ = r.latency.RecordValue(latency.Microseconds()) // the range covers the longest timeout
}

func (r *loadResult) quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// run calls handle for each request and waits until all have ended.
func (l openLoop) run(handle func(ctx context.Context, r *request.Request) error) *loadResult {
	result := &loadResult{latency: hdrhistogram.New(1, 60_000_000, 3)}
	rng := rand.New(rand.NewPCG(l.seed, 1))
	end := time.Now().Add(l.duration)
	var running sync.WaitGroup
	for due := time.Now(); due.Before(end); {
		due = due.Add(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		r := newRequest(true)
		r.Deadline = due.Add(l.timeout)
		r.Digest = rng.Uint64()
		result.sent++
		running.Go(func() {
			err := handle(context.Background(), r)
			result.add(time.Since(due), err == nil && time.Since(due) <= l.timeout)
		})
	}
	running.Wait()
	return result
}

// timedServer returns a behaviour with exponentially distributed service times.
func timedServer(mean time.Duration, seed uint64) behaviour {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 2))
	return func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
		mu.Lock()
		latency := time.Duration(rng.ExpFloat64() * float64(mean))
		mu.Unlock()
		return respondAfter(latency)(ctx, s, r)
	}
}
