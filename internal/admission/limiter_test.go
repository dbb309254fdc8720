package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/ramp"
)

// Guards against more requests on a server than it has slots, and against an
// exclusive request that shares the server, while many goroutines compete.
func TestSlotsAreNeverExceeded(t *testing.T) {
	is := is.New(t)
	const slots = 3
	l := New(Options{Server: "bosho-01", Slots: slots, QueueLimit: 1000})
	defer l.Close()
	var running, exclusive atomic.Int64
	var exceeded atomic.Bool
	var wg sync.WaitGroup
	for worker := range 32 {
		wg.Go(func() {
			for i := range 200 {
				now := time.Now()
				isExclusive := (worker+i)%50 == 0
				acquire := l.Acquire
				if isExclusive {
					acquire = l.AcquireExclusive
				}
				slot, err := acquire(context.Background(), now.Add(time.Minute), Priority(i%2), now)
				if err != nil {
					t.Error(err)
					return
				}
				count := running.Add(1)
				if isExclusive {
					exclusive.Add(1)
				}
				if count > slots || exclusive.Load() > 0 && count > 1 {
					exceeded.Store(true)
				}
				if isExclusive {
					exclusive.Add(-1)
				}
				running.Add(-1)
				slot.Release(Result{Kind: Neutral})
			}
		})
	}
	wg.Wait()
	is.True(!exceeded.Load())
	is.Equal(l.Outstanding(), 0)
}

// Guards against a slot that is lost or granted twice when the caller cancels while the slot
// is being granted.
func TestCancelRacingWithGrant(t *testing.T) {
	is := is.New(t)
	l := New(Options{Server: "bosho-01", Slots: 1, QueueLimit: 1000})
	defer l.Close()
	for range 500 {
		now := time.Now()
		first, err := l.Acquire(context.Background(), now.Add(time.Minute), 0, now)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if slot, err := l.Acquire(ctx, now.Add(time.Minute), 0, now); err == nil {
				slot.Release(Result{})
			}
		}()
		go cancel()
		first.Release(Result{})
		<-done
	}
	is.Equal(l.Outstanding(), 0)
	_, ok := l.TryAcquireExclusive()
	is.True(ok)
}

// Guards against a refusal that does not name its cause, and against one with another
// outcome than "not run".
func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(t *testing.T, l *Limiter)
		timeout time.Duration
		want    problem.Kind
	}{
		{"deadline passed on arrival", func(*testing.T, *Limiter) {}, -time.Millisecond, problem.KindDeadlinePassed},
		{"deadline passes in the queue", func(*testing.T, *Limiter) {}, time.Second, problem.KindDeadlinePassed},
		{"queue full", fillQueue, time.Minute, problem.KindOverloaded},
		{"expected wait too long", func(_ *testing.T, l *Limiter) { l.latency.addSample(10 * time.Second) }, time.Second, problem.KindOverloaded},
		{"closed", func(_ *testing.T, l *Limiter) { l.Close() }, time.Second, problem.KindNoServer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := New(Options{Server: "bosho-01", Slots: 1, QueueLimit: 2})
				slot, err := l.Acquire(t.Context(), time.Now().Add(time.Hour), 0, time.Now())
				is.NoErr(err)
				c.arrange(t, l)
				_, err = l.Acquire(t.Context(), time.Now().Add(c.timeout), 0, time.Now())
				is.True(err != nil)
				is.Equal(problem.From(err).Kind, c.want)
				is.Equal(problem.From(err).Outcome, outcome.NotRun)
				slot.Release(Result{})
				if c.want != problem.KindNoServer {
					l.Close()
				}
			})
		})
	}
}

func fillQueue(t *testing.T, l *Limiter) {
	for range 2 {
		go func() {
			if slot, err := l.Acquire(context.Background(), time.Now().Add(time.Hour), 0, time.Now()); err == nil {
				slot.Release(Result{})
			}
		}()
	}
	synctest.Wait()
}

// Guards against a cold server that gets more requests than its rate or than one at a time,
// and against a slow start that never ends.
func TestColdServerIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(Options{Server: "bosho-01", Slots: 3, StartReason: ramp.ReasonAdded})
		defer l.Close()
		start := time.Now()
		for range 10 {
			slot, err := l.Acquire(t.Context(), time.Now().Add(time.Minute), 0, time.Now())
			is.NoErr(err)
			is.Equal(l.Running(), 1)
			slot.Release(Result{Kind: Success, Latency: time.Millisecond})
		}
		is.Equal(time.Since(start), 9*200*time.Millisecond)
		for !l.RampState().Warm {
			slot, err := l.Acquire(t.Context(), time.Now().Add(time.Minute), 0, time.Now())
			is.NoErr(err)
			slot.Release(Result{Kind: Success, Latency: time.Millisecond})
		}
		is.True(time.Since(start) < 5*time.Second)
	})
}

// Guards against granting slots that requests of an earlier holder still take.
func TestForeignSlotsAreNotGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(Options{Server: "bosho-01", Slots: 2})
		defer l.Close()
		l.SetInheritedSlots(2)
		granted := make(chan *Slot, 1)
		go func() {
			slot, _ := l.Acquire(context.Background(), time.Now().Add(time.Minute), 0, time.Now())
			granted <- slot
		}()
		synctest.Wait()
		is.Equal(len(granted), 0)
		l.SetInheritedSlots(1)
		(<-granted).Release(Result{})
	})
}

// Guards against a warm server that is limited to 5 requests/s because of one slow response,
// and against a cold server that is not detected.
func TestColdByLatency(t *testing.T) {
	is := is.New(t)
	l := New(Options{Server: "bosho-01", Slots: 3})
	defer l.Close()
	serve := func(latency time.Duration) {
		slot, err := l.Acquire(t.Context(), time.Now().Add(time.Minute), 0, time.Now())
		is.NoErr(err)
		slot.Release(Result{Kind: Success, Latency: latency})
	}
	for range 100 {
		serve(10 * time.Millisecond)
	}
	for range 3 {
		for range ramp.SlowSamplesUntilCold - 1 {
			serve(200 * time.Millisecond)
		}
		is.True(l.RampState().Warm)
		serve(10 * time.Millisecond)
	}
	for range ramp.SlowSamplesUntilCold {
		serve(200 * time.Millisecond)
	}
	is.True(!l.RampState().Warm)
}
