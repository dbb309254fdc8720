package placing

import "time"

// isIdle reports whether the server neither runs nor queues attempts nor pauses an instance, so
// that a tick has nothing to do for it.
func (s *server) isIdle() bool {
	return len(s.queue.waiting) == 0 && len(s.inFlight) == 0 && len(s.pauses) == 0
}

// listServers lists the servers of each service after they have changed. Going over a map takes
// several times longer.
func (sched *Scheduler) listServers() {
	for _, svc := range sched.services {
		svc.list = make([]*server, 0, len(svc.servers))
		for _, s := range svc.servers {
			svc.list = append(svc.list, s)
		}
	}
}

// dispatchWaiting assigns the queued attempts of a service to free slots. The queue for the
// whole service is examined once, as that goes over all servers.
func (sched *Scheduler) dispatchWaiting(now time.Time, svc *service) {
	for _, s := range svc.list {
		if len(s.queue.waiting) > 0 {
			sched.dispatchQueued(now, svc, s)
		}
	}
	if len(svc.queue.waiting) == 0 {
		return
	}
	if len(svc.list) > 0 {
		sched.dispatchQueued(now, svc, svc.list[0])
	}
}
