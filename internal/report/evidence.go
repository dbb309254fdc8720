package report

// Evidence is what callers and backend servers saw, independently of the records.
type Evidence struct {
	Sent []Sent
	Runs []Run
	// DroppedRuns counts the runs that did not fit into the run log.
	DroppedRuns int
}

func (e Evidence) runsByID() map[string][]Run {
	byID := make(map[string][]Run, len(e.Runs))
	for _, run := range e.Runs {
		byID[run.RequestID] = append(byID[run.RequestID], run)
	}
	return byID
}
