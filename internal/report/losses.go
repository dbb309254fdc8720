package report

import "time"

// losses knows where records were lost, by the address that callers used.
type losses struct {
	journal *Journal
	byEntry map[string]*Instance
}

func newLosses(j *Journal) losses {
	l := losses{journal: j, byEntry: map[string]*Instance{}}
	for _, instance := range j.Instances() {
		for _, address := range instance.Callers {
			l.byEntry[address] = instance
		}
	}
	return l
}

// explain returns the instance whose losses explain that records of a request
// are missing: one that the request was sent to, and that lost records of that time.
func (l losses) explain(s *Sent) string {
	for _, attempt := range s.reached() {
		instance := l.byEntry[attempt.Entry]
		if instance != nil && instance.lost(s.From, s.Until) {
			return instance.Name
		}
	}
	return ""
}

// lost reports whether the instance may have lost records that it wrote between
// from and until. Its lines are written in order, so a killed instance lost only
// what came after its last one.
func (i *Instance) lost(from, until time.Time) bool {
	if i.NoStart && from.Before(i.First.Add(lossSlack)) {
		return true
	}
	if i.Dropped > 0 && from.Before(i.DroppedAt.Add(lossSlack)) {
		return true
	}
	for _, at := range i.Killed {
		if until.After(at.Add(-lossSlack)) {
			return true
		}
	}
	return false
}
