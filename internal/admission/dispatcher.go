package admission

import (
	"container/heap"
	"time"
)

// dispatcher is the goroutine that serves the queue of one gate. It alone paces
// a server that is not warm.
type dispatcher struct {
	gate  *Limiter
	queue queue
	// pinned is an exclusive waiter that reached the top: nothing overtakes it
	// while the slots drain, so it cannot starve.
	pinned *waiter
	// nextStart is the earliest time of the next start on a paced server.
	nextStart time.Time
	pace      *time.Timer
}

func newDispatcher(g *Limiter) *dispatcher {
	pace := time.NewTimer(time.Hour)
	pace.Stop()
	return &dispatcher{gate: g, pace: pace}
}

func (d *dispatcher) run() {
	defer close(d.gate.done)
	defer d.pace.Stop()
	for {
		select {
		case <-d.gate.wake:
		case <-d.pace.C:
		}
		d.queue.addAll(d.gate.arrivals.takeAll())
		if word(d.gate.word.Load()).has(flagClosed) {
			if d.refuseAll() {
				return
			}
			continue
		}
		d.serve()
		d.tidy()
	}
}

// serve grants slots until none is free, the pace forbids it or nobody waits.
func (d *dispatcher) serve() {
	for {
		w := d.next()
		if w == nil || !d.isDue() || !d.take(w) {
			return
		}
	}
}

// next returns the waiter to serve.
func (d *dispatcher) next() *waiter {
	now := time.Now()
	if d.pinned != nil && d.pinned.waits(now) {
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

// isDue reports whether the pace allows a start now, and sets the timer if not.
func (d *dispatcher) isDue() bool {
	if d.gate.allowance.Load().Warm {
		return true
	}
	wait := time.Until(d.nextStart)
	if wait <= 0 {
		return true
	}
	d.pace.Reset(wait)
	return false
}

// take moves one slot, or all of them, to w. It reports false when no slot is free.
func (d *dispatcher) take(w *waiter) bool {
	if !d.reserve(w.exclusive) {
		return false
	}
	d.remove(w)
	if !w.settle(waiterGranted) {
		d.gate.give(w.exclusive)
		return true
	}
	d.gate.update(func(old word) word { return old - oneWaiting })
	d.paceStart()
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

func (d *dispatcher) reserve(exclusive bool) bool {
	g := d.gate
	for {
		old := word(g.word.Load())
		next := old + oneBusy
		allowed := old.hasFree()
		if exclusive {
			next |= flagExclusive
			allowed = old.isIdle()
		}
		if !allowed {
			return false
		}
		if g.swap(old, next) {
			return true
		}
	}
}

// paceStart sets the earliest time of the next start. There is no burst: a cold
// server that was idle may get one request, not the rate it missed.
func (d *dispatcher) paceStart() {
	allowance := d.gate.allowance.Load()
	if allowance.Warm {
		return
	}
	interval := time.Duration(float64(time.Second) / allowance.Rate)
	d.nextStart = time.Now().Add(interval)
	d.gate.nextStart.Store(d.nextStart.UnixNano())
}

// tidy drops waiters that have left once they outnumber those that wait.
func (d *dispatcher) tidy() {
	waiting := word(d.gate.word.Load()).waiting()
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
	return word(d.gate.word.Load()).waiting() == 0
}

func (d *dispatcher) refuse(w *waiter) {
	if w == nil || !w.settle(waiterRefused) {
		return
	}
	d.gate.update(func(old word) word { return old - oneWaiting })
	w.wake <- struct{}{}
}
