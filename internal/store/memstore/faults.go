package memstore

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// Faults injects faults into the calls of a Store. Its methods may be called at any time.
type Faults struct {
	unavailable     atomic.Bool
	responsesToLose atomic.Int64
	delayNanos      atomic.Int64
	staleEntries    atomic.Pointer[map[string]record]
	// availabilityChanged and delayChanged wake waiting calls when unavailable or delayNanos changes.
	availabilityChanged signal
	delayChanged        signal
	// delayed is sent a value for each call whose delay begins, unless its buffer is full.
	delayed chan struct{}
}

// SetUnavailable makes each call fail with store.ErrUnavailable and ends waiting watches.
func (f *Faults) SetUnavailable(unavailable bool) {
	f.unavailable.Store(unavailable)
	f.availabilityChanged.broadcast()
}

// SetDelay delays each call by d before it takes effect. Calls that are being delayed
// proceed at once. A write whose context ends during the delay still takes effect.
func (f *Faults) SetDelay(d time.Duration) {
	f.delayNanos.Store(int64(d))
	f.delayChanged.broadcast()
}

// Delayed returns a channel that receives a value for each call that the store has
// accepted and delays.
func (f *Faults) Delayed() <-chan struct{} {
	return f.delayed
}

// LoseNextResponse drops the response of the next write that takes effect: its caller
// gets store.ErrUncertain.
func (f *Faults) LoseNextResponse() {
	f.responsesToLose.Add(1)
}

// ServeStaleReads makes Get and List read a snapshot of the entries, taken now, until it
// is called with false. Watches and writes still use the current entries.
func (s *Store) ServeStaleReads(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !stale {
		s.faults.staleEntries.Store(nil)
		return
	}
	entries := maps.Clone(s.entries)
	s.faults.staleEntries.Store(&entries)
}

func (f *Faults) beforeRead(ctx context.Context) error {
	if f.unavailable.Load() {
		return store.ErrUnavailable
	}
	if err := f.delay(ctx); err != nil {
		return store.Fail(store.ErrUnavailable, err)
	}
	return nil
}

// beforeWrite delays a write. ctxErr is the context's error if the context ended during
// the delay, after the store had accepted the call.
func (f *Faults) beforeWrite(ctx context.Context) (ctxErr, err error) {
	if f.unavailable.Load() {
		return nil, store.ErrUnavailable
	}
	if err := ctx.Err(); err != nil {
		return nil, store.Fail(store.ErrUnavailable, err)
	}
	return f.delay(ctx), nil
}

func (f *Faults) delay(ctx context.Context) error {
	changed := f.delayChanged.wait()
	d := time.Duration(f.delayNanos.Load())
	if d == 0 {
		return ctx.Err()
	}
	select {
	case f.delayed <- struct{}{}:
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

func (f *Faults) loseResponse() bool {
	for {
		left := f.responsesToLose.Load()
		if left == 0 {
			return false
		}
		if f.responsesToLose.CompareAndSwap(left, left-1) {
			return true
		}
	}
}
