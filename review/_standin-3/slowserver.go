package main

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

// Upstreams of slowServer have a small receive buffer, as the platform's links have small
// windows, and work slowWork on an order. A slow reader spends that time before it takes the
// body, any other one after it.
const (
	slowBuffer = 4096
	slowWork   = 1500 * time.Millisecond
	// usualWork is how long they work on orders before slowFrom, and stopAt when the machine is
	// stopped, both from the begin of the traffic.
	usualWork = 150 * time.Millisecond
	slowFrom  = 4200 * time.Millisecond
	stopAt    = 4500 * time.Millisecond
	// orderLength is the length of an order's body, orderBudget what its consumer waits in ms,
	// and orderTimeout the time-out of its route in s.
	orderLength  = 8_000
	orderBudget  = 4000
	orderTimeout = 4.0
	// refusalPause is how long a consumer waits after a refusal.
	refusalPause = 300 * time.Millisecond
	// stopSlack is the time around a SIGTERM that the rule looks at after the grace period.
	graceTime = 6 * time.Second
	stopSlack = time.Second
)

// order is an order that a consumer has sent.
type order struct {
	id      string
	machine *machine
	sentAt  time.Time
	answer  answer
}

// slowServer: orders are at work at upstreams that read slowly while the machine which has
// taken them is stopped. Without the disruption the upstreams read at once.
func slowServer(w *world) bool {
	const service = "bookings"
	begin := time.Now()
	w.configure([]string{service}, []route{{prefix: "/puka111/", kind: "unsafe", service: service, timeout: orderTimeout}})
	w.addUpstreams(service, 9, slowBuffer, func(u *upstream, c *upstreamConn, r *http.Request) bool {
		id, run := r.Header.Get("X-Attempt-Id"), u.begin(r)
		w.note("%s begins to work on order %s", u.id, id)
		work := usualWork
		if time.Since(begin) > slowFrom {
			work = slowWork
		}
		if w.trouble {
			time.Sleep(work)
		}
		whole := u.read(r, run, 0)
		if !w.trouble {
			time.Sleep(work)
		}
		w.note("%s: order %s: %d of %d bytes, whole %v, error %v", u.id, id, run.got, run.sent, whole, run.err)
		return whole && u.success(c, id, 400)
	})
	w.addMachines(3)
	var group sync.WaitGroup
	var mu sync.Mutex
	var orders []order
	begin = time.Now()
	stopped := w.machines[1]
	body := bytes.Repeat([]byte("reservation "), orderLength/12+1)[:orderLength]
	for n := range 12 {
		group.Go(func() {
			m := w.machines[n%3]
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			c, err := dial(m.front)
			check(err)
			defer c.Close()
			for time.Since(begin) < 8*time.Second {
				o := order{id: w.newID(), machine: m, sentAt: time.Now()}
				w.note("order %s is sent to %s", o.id, m.name)
				o.answer = c.send(http.MethodPost, "/puka111/2f", o.id, orderBudget, body, 0)
				w.note("order %s is answered: %v", o.id, o.answer)
				mu.Lock()
				orders = append(orders, o)
				mu.Unlock()
				if o.answer.err != nil || o.answer.closes {
					return
				}
				if !o.answer.isSuccess(o.id) {
					time.Sleep(refusalPause)
				}
			}
		})
	}
	time.Sleep(4500 * time.Millisecond)
	stopped.stop()
	group.Wait()
	<-stopped.ended
	broken, answered := 0, 0
	for _, o := range orders {
		if o.answer.isSuccess(o.id) {
			answered++
		}
		if o.machine == stopped && o.isBrokenOff(w) {
			broken++
			w.note("order %s: %s was at work on it, and it was broken off: %v", o.id, w.runsOf(o.id)[0].upstream, o.answer)
		}
	}
	w.note("%d orders, %d answered with success, %d broken off around the stop", len(orders), answered, broken)
	return broken > 0
}

// isBrokenOff reports whether an order was broken off around the stop of its machine: an
// upstream was at work on it, and its consumer got no answer, or one of the system's own,
// before its time and that of its route were over.
func (o order) isBrokenOff(w *world) bool {
	runs := w.runsOf(o.id)
	a, stop := o.answer, o.machine.stoppedAt
	switch {
	case len(runs) == 0 || a.isSuccess(o.id) || a.stamp != "":
		return false
	case a.at.Before(stop) || o.sentAt.After(stop.Add(graceTime+stopSlack)):
		return false
	case a.took >= orderBudget*time.Millisecond-50*time.Millisecond || a.took >= time.Duration(orderTimeout*float64(time.Second))-50*time.Millisecond:
		return false
	case o.sentAt.Before(stop.Add(3*time.Second)) && a.at.After(stop.Add(graceTime*5/6)):
		return false // the upstream was at work in the last sixth of the grace period
	}
	return runs[0].endedAt.IsZero() || runs[0].endedAt.After(a.at) || !runs[0].whole
}
