package facts

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// countingSource takes a while for each read of the list and counts them.
type countingSource struct {
	fakeSource
	duration time.Duration
	reads    atomic.Int64
}

func (s *countingSource) Listing(ctx context.Context) (fleet.Listing, error) {
	s.reads.Add(1)
	select {
	case <-time.After(s.duration):
		return s.fakeSource.Listing(ctx)
	case <-ctx.Done():
		return fleet.Listing{}, errors.Wrap(ctx.Err(), "read")
	}
}

// Guards against requests that each read the store, that wait long for a store which does
// not answer, or that go on asking one which does not.
func TestRequestsShareReadings(t *testing.T) {
	for name, c := range map[string]struct {
		duration time.Duration
		down     bool
		refreshed,
		again bool // a second later
		reads, onRead int64
		maxWait       time.Duration
	}{
		"healthy store":            {duration: 5 * time.Millisecond, refreshed: true, again: true, reads: 2, onRead: 2, maxWait: 5 * time.Millisecond},
		"store that rejects reads": {duration: 5 * time.Millisecond, down: true, reads: 2, maxWait: 5 * time.Millisecond},
		"store that is slow":       {duration: 300 * time.Millisecond, again: false, reads: 2, onRead: 2, maxWait: refreshWait},
		"store without answers":    {duration: time.Hour, reads: 1, maxWait: refreshWait},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var onRead atomic.Int64
				s := &countingSource{duration: c.duration}
				s.down = c.down
				o := NewOnDemand(NewReader(s, NewRegistry(decodeVersion, nil), nil), Backoff{
					InFleet: func() time.Duration { return time.Second },
					Alone:   func() time.Duration { return time.Second },
					IsAlone: func() bool { return false },
				}, func() { onRead.Add(1) })
				for _, want := range []bool{c.refreshed, c.again} {
					for range 20 {
						go func() {
							began := time.Now()
							is.Equal(o.Refresh(t.Context()), want)
							is.True(time.Since(began) <= c.maxWait)
						}()
					}
					time.Sleep(time.Second + 10*time.Millisecond)
				}
				is.Equal(s.reads.Load(), c.reads)
				is.Equal(onRead.Load(), c.onRead)
				time.Sleep(slowReadTimeout) // until the last reading has ended
			})
		})
	}
}

// Guards against an instance that loses its holder while it waits for as long as a large fleet
// may, and that goes on without news of a store which serves it again.
func TestInstanceWithoutAHolderReadsAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var alone atomic.Bool
		s := &countingSource{}
		s.down = true
		o := NewOnDemand(NewReader(s, NewRegistry(decodeVersion, nil), nil), Backoff{
			InFleet: func() time.Duration { return 15 * time.Second },
			Alone:   func() time.Duration { return time.Second },
			IsAlone: alone.Load,
		}, func() {})
		is.True(!o.Refresh(t.Context()))
		s.down = false
		time.Sleep(2 * time.Second)
		is.True(!o.Refresh(t.Context())) // its holder hears of the store
		alone.Store(true)
		is.True(o.Refresh(t.Context()))
	})
}
