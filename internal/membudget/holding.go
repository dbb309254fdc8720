package membudget

import (
	"context"
	"sync/atomic"
	"time"
)

// Holding is what one caller's connection holds. It is safe for concurrent use.
type Holding struct {
	account *Account
	bytes   atomic.Int64
	// progressAt is when the caller last took or sent bytes, or a response for it arrived, in
	// nanoseconds after the start of the account.
	progressAt atomic.Int64
	end        func()
	ended      atomic.Bool
}

// awaitInterval is how often one who waits for memory looks for a connection to end.
const awaitInterval = 250 * time.Millisecond

// Progress records that the connection makes progress.
func (h *Holding) Progress() {
	h.progressAt.Store(h.account.now())
}

// Idle returns the time since the last progress.
func (h *Holding) Idle() time.Duration {
	return time.Duration(h.account.now() - h.progressAt.Load())
}

// Ended reports whether the connection was ended for its memory.
func (h *Holding) Ended() bool {
	return h.ended.Load()
}

// Bytes returns what the connection holds.
func (h *Holding) Bytes() int64 {
	return h.bytes.Load()
}

// Close tells that the connection is closed. What it holds stays counted until it is returned.
func (h *Holding) Close() {
	h.account.holdings.Delete(h)
}

// Account returns the account that the holding belongs to.
func (h *Holding) Account() *Account {
	return h.account
}

// TakeSmall takes n bytes that a usual request needs and reports whether it got them.
func (h *Holding) TakeSmall(kind Kind, n int64) bool {
	return h.take(kind, n, func(l *Limits, u usage) verdict { return l.decideSmall(u, n) })
}

// Take takes n bytes beyond what a usual request needs, without which the connection can go
// on, and reports whether it got them.
func (h *Holding) Take(kind Kind, n int64) bool {
	return h.take(kind, n, func(l *Limits, u usage) verdict { return l.decideElastic(u, kind, n) })
}

// Await takes n bytes, which the connection cannot go on without, once there are as many.
// It fails when ctx ends before.
func (h *Holding) Await(ctx context.Context, kind Kind, n int64) error {
	if h.takeLarge(kind, n) {
		return nil
	}
	a := h.account
	a.waiting.Add(1)
	defer a.waiting.Add(-1)
	retry := time.NewTicker(awaitInterval)
	defer retry.Stop()
	for {
		freed := *a.freed.Load()
		if h.takeLarge(kind, n) {
			return nil
		}
		select {
		case <-freed:
		case <-retry.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Charge counts n bytes that are held in any case.
func (h *Holding) Charge(kind Kind, n int64) {
	h.account.recordPeak(h.account.add(h, kind, n).total + n)
}

// Return returns n bytes.
func (h *Holding) Return(kind Kind, n int64) {
	if n == 0 {
		return
	}
	h.account.add(h, kind, -n)
	h.account.notifyFreed()
}

func (h *Holding) takeLarge(kind Kind, n int64) bool {
	return h.take(kind, n, func(l *Limits, u usage) verdict { return l.decideLarge(u, kind, n) })
}

// take counts n bytes if decide grants them. It decides again on the figures with which they
// were counted, since others may have taken memory meanwhile.
func (h *Holding) take(kind Kind, n int64, decide func(*Limits, usage) verdict) bool {
	a := h.account
	v := decide(&a.limits, usage{total: a.total.Load(), kind: a.kinds[kind].Load(), connection: h.bytes.Load()})
	if v == granted {
		u := a.add(h, kind, n)
		if v = decide(&a.limits, u); v == granted {
			a.recordPeak(u.total + n)
			return true
		}
		a.add(h, kind, -n)
	}
	if v == exhausted {
		a.endOne()
	}
	return false
}

func (h *Holding) candidate(now int64) candidate {
	return candidate{bytes: h.bytes.Load(), idle: time.Duration(now - h.progressAt.Load())}
}
