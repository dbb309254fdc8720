package admission

import (
	"container/heap"
	"time"
)

// dispatcher serves the queue of one limiter and paces the starts on a server that is not
// warm. One goroutine owns it.
type dispatcher struct {
	limiter *Limiter
	queue   queue
	// pinned is an exclusive waiter that has reached the top of the queue. No other
	// waiter is served before it while the slots drain, so it does not starve.
	pinned *waiter
	// nextStart is the earliest time of the next start on a paced server.
	nextStart time.Time
	paceTimer *time.Timer
}

func newDispatcher(l *Limiter) *dispatcher {
	paceTimer := time.NewTimer(time.Hour)
	paceTimer.Stop()
	return &dispatcher{limiter: l, paceTimer: paceTimer}
}

func (d *dispatcher) run() {
	defer close(d.limiter.done)
	defer d.paceTimer.Stop()
	for {
		select {
		case <-d.limiter.wake:
		case <-d.paceTimer.C:
		}
		d.queue.addAll(d.limiter.arrivals.takeAll())
		if packedState(d.limiter.state.Load()).hasFlag(flagClosed) {
			if d.refuseAll() {
				return
			}
			continue
		}
		d.serve()
		d.compactQueue()
	}
}

// serve grants slots until none is free, the pace forbids a start or the queue is empty.
func (d *dispatcher) serve() {
	for {
		w := d.next()
		if w == nil || !d.paceAllowsStart() || !d.grant(w) {
			return
		}
	}
}

// next returns the waiter to serve, or nil, and pins it if it is exclusive.
func (d *dispatcher) next() *waiter {
	now := time.Now()
	if d.pinned != nil && d.pinned.isWaiting(now) {
		return d.pinned
	}
	d.pinned = nil
	w := d.queue.top(now)
	if w != nil && w.exclusive {
		heap.Pop(&d.queue)
		d.pinned = w
	}
	return w
}

// paceAllowsStart reports whether the pace allows a start now; if not, it sets the timer.
func (d *dispatcher) paceAllowsStart() bool {
	if d.limiter.rampState.Load().Warm {
		return true
	}
	wait := time.Until(d.nextStart)
	if wait <= 0 {
		return true
	}
	d.paceTimer.Reset(wait)
	return false
}

// grant takes one slot, or all of them, for w, and gives it back if w has left. It returns
// false when no slot is free.
func (d *dispatcher) grant(w *waiter) bool {
	if !d.tryTakeSlots(w.exclusive) {
		return false
	}
	d.remove(w)
	if !w.settle(waiterGranted) {
		d.limiter.releaseSlot(w.exclusive)
		return true
	}
	d.limiter.update(func(old packedState) packedState { return old - oneWaiting })
	d.recordStart()
	w.wake <- struct{}{}
	return true
}

func (d *dispatcher) remove(w *waiter) {
	if d.pinned == w {
		d.pinned = nil
		return
	}
	heap.Pop(&d.queue)
}

func (d *dispatcher) tryTakeSlots(exclusive bool) bool {
	l := d.limiter
	for {
		old := packedState(l.state.Load())
		next := old + oneBusy
		allowed := old.hasFreeSlot()
		if exclusive {
			next |= flagExclusive
			allowed = old.isIdle()
		}
		if !allowed {
			return false
		}
		if l.compareAndSwap(old, next) {
			return true
		}
	}
}

// recordStart sets the earliest time of the next start on a paced server. Unused starts do
// not accumulate: a cold server that was idle gets one request, not a burst.
func (d *dispatcher) recordStart() {
	state := d.limiter.rampState.Load()
	if state.Warm {
		return
	}
	interval := time.Duration(float64(time.Second) / state.Rate)
	d.nextStart = time.Now().Add(interval)
	d.limiter.nextStart.Store(d.nextStart.UnixNano())
}

// compactQueue removes the waiters that have left, once there are clearly more of them than
// of those that still wait.
func (d *dispatcher) compactQueue() {
	waiting := packedState(d.limiter.state.Load()).waiting()
	if len(d.queue.waiters) > 2*waiting+16 {
		d.queue.compact()
	}
}

// refuseAll refuses every waiter in the queue. It returns false when a waiter is already
// counted but has not been pushed to the arrivals yet.
func (d *dispatcher) refuseAll() bool {
	d.refuse(d.pinned)
	d.pinned = nil
	for _, w := range d.queue.waiters {
		d.refuse(w)
	}
	d.queue.waiters = nil
	return packedState(d.limiter.state.Load()).waiting() == 0
}

func (d *dispatcher) refuse(w *waiter) {
	if w == nil || !w.settle(waiterRefused) {
		return
	}
	d.limiter.update(func(old packedState) packedState { return old - oneWaiting })
	w.wake <- struct{}{}
}
