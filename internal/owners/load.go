package owners

// load is the load of one server as the planner sees it.
type load struct {
	Candidate
	// rate is in requests/s.
	rate float64
	keys int
}

// use returns the share of the server's slots that is in use.
func (l *load) use() float64 {
	return l.rate * l.ServiceTime / float64(l.Slots)
}

// capacity returns the requests/s that the server can run.
func (l *load) capacity() float64 {
	return float64(l.Slots) / l.ServiceTime
}
