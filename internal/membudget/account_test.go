package membudget

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against connections that together hold more than the limit when they ask at the
// same time, and against bytes that stay counted.
func TestConcurrentTakesStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	a := New(LimitsFor(4 << 20))
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			h := a.Open(func() {})
			defer h.Close()
			for range 2000 {
				if h.TakeSmall(Requests, 20<<10) {
					if h.Take(ReadAhead, 16<<10) {
						h.Return(ReadAhead, 16<<10)
					}
					h.Return(Requests, 20<<10)
				}
			}
		})
	}
	group.Wait()
	is.True(a.Peak() <= a.Limits().Total)
	is.Equal(a.Total(), int64(0))
	for _, k := range Kinds() {
		is.Equal(a.Held(k), int64(0))
	}
}

// Guards against ending a connection that makes progress, or that holds little, or more
// connections than one at a time.
func TestEndsTheConnectionThatHoldsTheMostForTheLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := New(LimitsFor(8 << 20)) // 1.5 MB for large requests
		var ended []string
		var reported []Ended
		a.OnEnd(func(e Ended) { reported = append(reported, e) })
		open := func(name string, bytes int64) *Holding {
			h := a.Open(func() { ended = append(ended, name) })
			h.Charge(Uploads, bytes)
			return h
		}
		moving := open("moving", 700<<10)
		stalled := open("stalled", 400<<10)
		open("small", 8<<10)
		recent := open("recent", 400<<10)
		asking := a.Open(func() { ended = append(ended, "asking") })
		for range 9 {
			time.Sleep(time.Second)
			moving.Progress()
		}
		recent.Progress()
		time.Sleep(time.Second)
		is.True(!asking.Take(ReadAhead, 100<<10))
		is.Equal(ended, []string{"stalled"})
		is.Equal(reported, []Ended{{Bytes: 400 << 10, Total: a.Total(), Idle: 10 * time.Second}})
		is.True(stalled.Ended())
		time.Sleep(100 * time.Millisecond)
		is.True(!asking.Take(ReadAhead, 100<<10)) // the ended one has not returned its memory yet
		is.Equal(len(ended), 1)
		stalled.Return(Uploads, 400<<10)
		stalled.Close()
		is.True(asking.Take(ReadAhead, 16<<10))
		is.Equal(a.EndedConnections(), uint64(1))
	})
}

// Guards against one who waits for memory past the end of the request, is not woken when
// memory is returned, or waits for a connection that has stalled.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := New(LimitsFor(16 << 20))
		full := a.Limits().Large
		var holder *Holding
		holder = a.Open(func() { holder.Return(Uploads, full) })
		holder.Charge(Uploads, full)
		waiter := a.Open(func() {})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(waiter.Await(ctx, ResponseHeads, 1) != nil)

		time.AfterFunc(30*time.Millisecond, func() { holder.Return(Uploads, 100) })
		began := time.Now()
		is.NoErr(waiter.Await(t.Context(), ResponseHeads, 100))
		is.Equal(time.Since(began), 30*time.Millisecond)

		holder.Charge(Uploads, 100)
		waiter.Return(ResponseHeads, 100)
		holder.Progress()
		began = time.Now()
		is.NoErr(waiter.Await(t.Context(), ResponseHeads, 100)) // the holder is ended once it has stalled
		is.True(time.Since(began) >= minIdle)
		is.True(time.Since(began) < minIdle+2*awaitInterval)
		is.True(holder.Ended())
	})
}
