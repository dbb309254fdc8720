package placing

import (
	"time"
)

// Complete takes note of the end of an attempt and gives its slot to the next request.
func (p *Scheduler) Complete(now time.Time, f Completion) {
	p.crashes.note(now, f)
	for _, svc := range p.services {
		s := svc.servers[f.Server]
		if s == nil {
			continue
		}
		s.finished(now, f)
		switch f.Outcome {
		case Lost:
			s.losses = append(s.losses, loss{mark: f.ContentHash, at: now})
		case Answered, Shed:
			for _, l := range s.alive(now) {
				p.crashes.acquit(l.mark)
			}
		}
		if f.Outcome == Answered {
			svc.learn(f.Duration)
		}
		p.fill(now, svc, s)
		return
	}
}

// Cancel forgets a request that waits no more.
func (p *Scheduler) Cancel(t AttemptID) {
	keep := func(w *waiting) bool { return w.ID != t }
	for _, svc := range p.services {
		svc.queue.keep(keep)
		svc.parked.keep(keep)
		for _, s := range svc.servers {
			s.queue.keep(keep)
		}
	}
}

// fill gives free slots to requests that wait.
func (p *Scheduler) fill(now time.Time, svc *service, s *server) {
	for len(s.queue) > 0 && p.admit(now, s, s.Slots+slotOvercommit, svc) {
		i := s.queue.next(now, s.expected(now, svc.typical()))
		w := s.queue[i]
		s.queue.remove(i)
		p.place(now, s, w)
	}
	for len(svc.queue) > 0 {
		i := svc.queue.next(now, svc.typical())
		if !p.placeFree(now, svc, svc.queue[i]) {
			return
		}
		svc.queue.remove(i)
	}
}

// Tick refuses what can no longer be served in time and uses what has become free.
func (p *Scheduler) Tick(now time.Time) {
	for _, svc := range p.services {
		p.expire(now, svc)
		parked := svc.parked
		svc.parked = nil
		for _, w := range parked {
			p.toOwner(now, svc, w)
		}
		for _, s := range svc.servers {
			p.rehome(now, svc, s)
			for t, deadline := range s.running {
				if now.After(deadline.Add(time.Second)) {
					delete(s.running, t) // its instance is gone
				}
			}
			p.fill(now, svc, s)
		}
	}
}

// rehome moves requests whose key has changed its owner.
func (p *Scheduler) rehome(now time.Time, svc *service, s *server) {
	var moved queue
	s.queue.keep(func(w *waiting) bool {
		if id, ready := p.owners.Owner(svc.Name, w.Key); !ready || id != s.Name {
			moved = append(moved, w)
			return false
		}
		return true
	})
	for _, w := range moved {
		p.toOwner(now, svc, w)
	}
}

func (p *Scheduler) expire(now time.Time, svc *service) {
	took := svc.typical()
	late := func(reason Reason) func(*waiting) bool {
		return func(w *waiting) bool {
			if w.possible(now, took*deadlineMargin) {
				return true
			}
			p.refuse(w.ID, reason, seconds(took))
			return false
		}
	}
	svc.queue.keep(late(ReasonOverload))
	svc.parked.keep(late(ReasonNoOwner))
	for _, s := range svc.servers {
		s.queue.keep(late(ReasonOverload))
	}
}
