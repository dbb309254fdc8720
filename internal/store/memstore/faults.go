package memstore

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// Faults are the switches of a Store. All may be changed at any time.
type Faults struct {
	down   atomic.Bool
	lose   atomic.Int64
	slow   atomic.Int64
	frozen atomic.Pointer[map[string]record]
	// outage and speed wake the calls that wait when down or slow change.
	outage signal
	speed  signal
	// waiting gets a value for each call that a slow store begins to delay, as far as it has room.
	waiting chan struct{}
}

// SetUnavailable makes each call fail with store.ErrUnavailable and ends waiting watches.
func (f *Faults) SetUnavailable(down bool) {
	f.down.Store(down)
	f.outage.broadcast()
}

// SetDelay delays each call by d before it takes effect; calls that wait
// already go on at once. A write whose context ends during the delay still
// takes effect.
func (f *Faults) SetDelay(d time.Duration) {
	f.slow.Store(int64(d))
	f.speed.broadcast()
}

// Delayed returns a channel that gets a value for each call that the store
// has taken and delays.
func (f *Faults) Delayed() <-chan struct{} {
	return f.waiting
}

// LoseNextResponse loses the answer of the next write that takes effect: the
// caller gets store.ErrUncertain.
func (f *Faults) LoseNextResponse() {
	f.lose.Add(1)
}

// ServeStaleReads makes Get and List answer from the entries of this moment
// until it is called with false. Watches and writes go on with current entries.
func (s *Store) ServeStaleReads(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !stale {
		s.faults.frozen.Store(nil)
		return
	}
	entries := maps.Clone(s.entries)
	s.faults.frozen.Store(&entries)
}

func (f *Faults) beforeRead(ctx context.Context) error {
	if f.down.Load() {
		return store.ErrUnavailable
	}
	if err := f.delay(ctx); err != nil {
		return store.Fail(store.ErrUnavailable, err)
	}
	return nil
}

// beforeWrite returns the context's error as slow when it ended during the
// delay of a call that the store has already taken.
func (f *Faults) beforeWrite(ctx context.Context) (slow, err error) {
	if f.down.Load() {
		return nil, store.ErrUnavailable
	}
	if err := ctx.Err(); err != nil {
		return nil, store.Fail(store.ErrUnavailable, err)
	}
	return f.delay(ctx), nil
}

func (f *Faults) delay(ctx context.Context) error {
	changed := f.speed.wait()
	d := time.Duration(f.slow.Load())
	if d == 0 {
		return ctx.Err()
	}
	select {
	case f.waiting <- struct{}{}:
	default:
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *Faults) loseAnswer() bool {
	for {
		left := f.lose.Load()
		if left == 0 {
			return false
		}
		if f.lose.CompareAndSwap(left, left-1) {
			return true
		}
	}
}
