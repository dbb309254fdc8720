package report

// lossIndex finds the instances that lost records by the address that callers used. An
// address may pass from one instance to another.
type lossIndex struct {
	byAddress map[string][]*Instance
}

func newLossIndex(j *Journal) lossIndex {
	l := lossIndex{byAddress: map[string][]*Instance{}}
	for _, instance := range j.Instances() {
		for _, address := range instance.CallerAddresses {
			l.byAddress[address] = append(l.byAddress[address], instance)
		}
	}
	return l
}

// instanceThatLost returns the name of an instance that explains missing records of a
// request: the request was sent to it, and it lost records of that time. It returns "" if
// there is none.
func (l lossIndex) instanceThatLost(s *SentRequest) string {
	for _, attempt := range s.sentAttempts() {
		for _, instance := range l.byAddress[attempt.Entry] {
			if instance.mayHaveLost(s.From, s.Until) {
				return instance.Name
			}
		}
	}
	return ""
}
