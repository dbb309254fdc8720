package report

// losses knows where records were lost, by the address that callers used. An
// address may pass from one instance to another.
type losses struct {
	byEntry map[string][]*Instance
}

func newLosses(j *Journal) losses {
	l := losses{byEntry: map[string][]*Instance{}}
	for _, instance := range j.Instances() {
		for _, address := range instance.Callers {
			l.byEntry[address] = append(l.byEntry[address], instance)
		}
	}
	return l
}

// explain returns the instance whose losses explain that records of a request
// are missing: one that the request was sent to, and that lost records of that time.
func (l losses) explain(s *SentRequest) string {
	for _, attempt := range s.reached() {
		for _, instance := range l.byEntry[attempt.Entry] {
			if instance.lost(s.From, s.Until) {
				return instance.Name
			}
		}
	}
	return ""
}
