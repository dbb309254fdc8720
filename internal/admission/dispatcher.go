package admission

import (
	"container/heap"
	"time"
)

// dispatcher is the goroutine that serves the queue of one gate. It alone paces
// a server that is not warm.
type dispatcher struct {
	limiter *Limiter
	queue   queue
	// pinned is an exclusive waiter that reached the top: nothing overtakes it
	// while the slots drain, so it cannot starve.
	pinned *waiter
	// nextStart is the earliest time of the next start on a paced server.
	nextStart time.Time
	paceTimer *time.Timer
}

func newDispatcher(g *Limiter) *dispatcher {
	pace := time.NewTimer(time.Hour)
	pace.Stop()
	return &dispatcher{limiter: g, paceTimer: pace}
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

// serve grants slots until none is free, the pace forbids it or nobody waits.
func (d *dispatcher) serve() {
	for {
		w := d.next()
		if w == nil || !d.paceAllowsStart() || !d.grant(w) {
			return
		}
	}
}

// next returns the waiter to serve.
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

// paceAllowsStart reports whether the pace allows a start now, and sets the timer if not.
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

// grant moves one slot, or all of them, to w. It reports false when no slot is free.
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
	g := d.limiter
	for {
		old := packedState(g.state.Load())
		next := old + oneBusy
		allowed := old.hasFreeSlot()
		if exclusive {
			next |= flagExclusive
			allowed = old.isIdle()
		}
		if !allowed {
			return false
		}
		if g.compareAndSwap(old, next) {
			return true
		}
	}
}

// recordStart sets the earliest time of the next start. There is no burst: a cold
// server that was idle may get one request, not the rate it missed.
func (d *dispatcher) recordStart() {
	allowance := d.limiter.rampState.Load()
	if allowance.Warm {
		return
	}
	interval := time.Duration(float64(time.Second) / allowance.Rate)
	d.nextStart = time.Now().Add(interval)
	d.limiter.nextStart.Store(d.nextStart.UnixNano())
}

// compactQueue drops waiters that have left once they outnumber those that wait.
func (d *dispatcher) compactQueue() {
	waiting := packedState(d.limiter.state.Load()).waiting()
	if len(d.queue.waiters) > 2*waiting+16 {
		d.queue.compact()
	}
}

// refuseAll refuses every waiter and reports whether none is on its way.
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
