package owners

// serverLoad is the serverLoad of one server as the planner sees it.
type serverLoad struct {
	Candidate
	// rate is in requests/s.
	rate float64
	keys int
}

// utilization returns the share of the server's slots that is in utilization.
func (l *serverLoad) utilization() float64 {
	return l.rate * l.ServiceTime / float64(l.Slots)
}

// capacity returns the requests/s that the server can run.
func (l *serverLoad) capacity() float64 {
	return float64(l.Slots) / l.ServiceTime
}
