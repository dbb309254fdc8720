package membudget

import (
	"sync"
	"sync/atomic"
	"time"
)

// endInterval is the least time between two connections that are ended, unless the first
// one has returned its memory: it takes a moment to do so.
const endInterval = 500 * time.Millisecond

// scanInterval is the least time between two looks at all connections for one to end.
const scanInterval = 50 * time.Millisecond

// Account counts what all connections hold. It is safe for concurrent use; taking and
// returning memory takes a few atomic operations.
type Account struct {
	limits Limits
	start  time.Time
	total  atomic.Int64
	kinds  [kindCount]atomic.Int64
	peak   atomic.Int64
	// holdings is the set of the *Holding of open connections.
	holdings sync.Map
	// freed is closed and replaced when memory is returned while someone waits for it.
	freed   atomic.Pointer[chan struct{}]
	waiting atomic.Int64
	// lastEnded is the last connection that was ended for its memory, and endedAt when.
	lastEnded atomic.Pointer[Holding]
	endedAt   atomic.Int64
	scannedAt atomic.Int64
	ended     atomic.Uint64
	refused   atomic.Uint64
	onEnd     atomic.Pointer[func(Ended)]
	onRefuse  atomic.Pointer[func(held int64)]
	// unattributed is what is held for no caller's connection.
	unattributed Holding
}

// New returns an account with the limits.
func New(limits Limits) *Account {
	a := &Account{limits: limits, start: time.Now()}
	freed := make(chan struct{})
	a.freed.Store(&freed)
	a.unattributed.account = a
	return a
}

// defaultMachineMemory is the memory of the smallest machine that runs an instance.
const defaultMachineMemory = 144 << 20

var defaultAccount = sync.OnceValue(func() *Account { return New(LimitsFor(defaultMachineMemory)) })

// Default returns the account of a process that has no other one.
func Default() *Account {
	return defaultAccount()
}

// OnEnd sets what is called when a connection is ended for its memory. It must not block.
func (a *Account) OnEnd(f func(Ended)) {
	a.onEnd.Store(&f)
}

// OnRefuse sets what is called when a request is refused. It must not block.
func (a *Account) OnRefuse(f func(held int64)) {
	a.onRefuse.Store(&f)
}

// Open returns the holding of a new connection. end ends the connection at once; it must not
// block, and may be called from any goroutine.
func (a *Account) Open(end func()) *Holding {
	h := &Holding{account: a, end: end}
	h.Progress()
	a.holdings.Store(h, nil)
	return h
}

// Unattributed returns the holding for what belongs to no caller's connection.
func (a *Account) Unattributed() *Holding {
	return &a.unattributed
}

// Held returns what is held of the kind.
func (a *Account) Held(kind Kind) int64 {
	return a.kinds[kind].Load()
}

// Total returns what is held of all kinds.
func (a *Account) Total() int64 {
	return a.total.Load()
}

// Peak returns the most that was held at a time.
func (a *Account) Peak() int64 {
	return a.peak.Load()
}

// Limits returns the limits.
func (a *Account) Limits() Limits {
	return a.limits
}

// EndedConnections returns how many connections were ended for their memory.
func (a *Account) EndedConnections() uint64 {
	return a.ended.Load()
}

// RefusedRequests returns how many requests were refused because there was no memory.
func (a *Account) RefusedRequests() uint64 {
	return a.refused.Load()
}

// CountRefusal counts a request that was refused because there was no memory.
func (a *Account) CountRefusal() {
	a.refused.Add(1)
	if f := a.onRefuse.Load(); f != nil {
		(*f)(a.total.Load())
	}
}

func (a *Account) now() int64 {
	return int64(time.Since(a.start))
}

// add counts n bytes and returns what was held before.
func (a *Account) add(h *Holding, kind Kind, n int64) usage {
	return usage{total: a.total.Add(n) - n, kind: a.kinds[kind].Add(n) - n, connection: h.bytes.Add(n) - n}
}

func (a *Account) recordPeak(total int64) {
	for {
		peak := a.peak.Load()
		if total <= peak || a.peak.CompareAndSwap(peak, total) {
			return
		}
	}
}

// notifyFreed wakes those that wait for memory.
func (a *Account) notifyFreed() {
	if a.waiting.Load() == 0 {
		return
	}
	next := make(chan struct{})
	close(*a.freed.Swap(&next))
}

// endOne ends the connection that holds the most for the longest without progress, if any
// may be ended and the last one has returned its memory.
func (a *Account) endOne() {
	now := a.now()
	if last := a.lastEnded.Load(); last != nil && last.bytes.Load() > 0 && now-a.endedAt.Load() < int64(endInterval) {
		return
	}
	if scanned := a.scannedAt.Load(); now-scanned < int64(scanInterval) || !a.scannedAt.CompareAndSwap(scanned, now) {
		return
	}
	var worst *Holding
	var worstCandidate candidate
	a.holdings.Range(func(key, _ any) bool {
		h := key.(*Holding)
		c := h.candidate(now)
		if !h.ended.Load() && c.cost() > worstCandidate.cost() {
			worst, worstCandidate = h, c
		}
		return true
	})
	if worst == nil || worst.ended.Swap(true) {
		return
	}
	a.endedAt.Store(now)
	a.lastEnded.Store(worst)
	a.ended.Add(1)
	if f := a.onEnd.Load(); f != nil {
		(*f)(Ended{Bytes: worstCandidate.bytes, Idle: worstCandidate.idle, Total: a.total.Load()})
	}
	worst.end()
}
