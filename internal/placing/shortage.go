package placing

// Shortage counts the refusals of a service for want of capacity since the start of the
// scheduler.
type Shortage struct {
	// Refused counts the refused attempts, and Overtaken those of them that had been queued.
	Refused, Overtaken uint64
	// Places counts the booked places, Returned the recognised returns, and PlacesTaken those of
	// them that came to their place.
	Places, Returned, PlacesTaken uint64
}

// Shortages calls report with the counts of each service.
func (sched *Scheduler) Shortages(report func(service string, s Shortage)) {
	for name, svc := range sched.services {
		report(name, svc.shortage)
	}
}
