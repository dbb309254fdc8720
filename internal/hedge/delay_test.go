package hedge

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against hedges by a delay that rests on a few samples.
func TestDelayIsUnknownWithFewSamples(t *testing.T) {
	is := is.New(t)
	d := NewDelay(0.05)
	for range minSamples - 1 {
		d.Observe(100 * time.Millisecond)
	}
	_, known := d.After()
	is.True(!known)
}

// Guards against a delay that is off the quantile by more than a bucket, or whose quantile
// leaves the limit unused or is far beyond it.
func TestDelayIsTheQuantileOfTheShare(t *testing.T) {
	for share, want := range map[float64]time.Duration{0.001: 99, 0.02: 98, 0.05: 95, 0.10: 90, 0.5: 90} {
		is := is.New(t)
		d, random := NewDelay(share), rand.New(rand.NewPCG(1, 2))
		for range 500 {
			d.Observe(time.Duration(random.Float64() * float64(100*time.Millisecond)))
		}
		after, known := d.After()
		is.True(known)
		is.True(after > want*time.Millisecond*97/100 && after < want*time.Millisecond*112/100)
	}
}

// Guards against a delay that stays at what a service was before.
func TestDelayFollowsAChange(t *testing.T) {
	is := is.New(t)
	d := NewDelay(0.05)
	for range 2000 {
		d.Observe(50 * time.Millisecond)
	}
	for range 100 {
		d.Observe(400 * time.Millisecond)
	}
	after, _ := d.After()
	is.True(after >= 400*time.Millisecond)
	for range 3000 {
		d.Observe(50 * time.Millisecond)
	}
	after, _ = d.After()
	is.True(after < 55*time.Millisecond)
}

// Guards against a delay that falls because slow attempts are cancelled, or because attempts
// are cancelled early for another reason.
func TestUnfinishedAttemptsDoNotShortenTheDelay(t *testing.T) {
	is := is.New(t)
	d, random := NewDelay(0.05), rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		sample := time.Duration(random.ExpFloat64() * float64(100*time.Millisecond))
		if after, known := d.After(); known && sample > after {
			d.ObserveUnfinished(after + time.Millisecond)
			continue
		}
		d.Observe(sample)
		d.ObserveUnfinished(time.Millisecond)
	}
	after, _ := d.After()
	is.True(after > 250*time.Millisecond && after < 400*time.Millisecond) // the quantile is 300 ms
}

// Guards against lost counts and a count below 0 when instances of requests end together.
func TestDelayIsSafeForConcurrentUse(t *testing.T) {
	is := is.New(t)
	d := NewDelay(0.05)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 5000 {
				d.Observe(100 * time.Millisecond)
				d.After()
			}
		})
	}
	group.Wait()
	after, known := d.After()
	is.True(known && after >= 100*time.Millisecond && after < 110*time.Millisecond)
	sum := uint32(0)
	for i := range d.counts {
		sum += d.counts[i].Load()
	}
	is.True(sum < 50000)
}

// Guards against a response time outside of the histogram.
func TestBucketsCoverAllResponseTimes(t *testing.T) {
	is := is.New(t)
	is.Equal(bucketOf(-time.Second), 0)
	is.Equal(bucketOf(1<<62), numBuckets-1)
	for _, sample := range []time.Duration{1, time.Millisecond, 3 * time.Millisecond, time.Second, 100 * time.Second} {
		is.True(upperBound(bucketOf(sample)) >= sample)
	}
	is.True(upperBound(numBuckets-1) > 130*time.Second)
}

func BenchmarkObserve(b *testing.B) {
	d := NewDelay(0.05)
	b.RunParallel(func(p *testing.PB) {
		sample := time.Millisecond
		for p.Next() {
			d.Observe(sample)
			sample = (sample*5 + 7) % time.Second
		}
	})
}
