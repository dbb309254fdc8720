package report

// Evidence is what callers and backend servers observed, independently of the records.
type Evidence struct {
	Requests   []SentRequest
	Executions []Execution
	// DroppedExecutions counts the executions that did not fit into the run log.
	DroppedExecutions int
}

func (e Evidence) executionsByID() map[string][]Execution {
	byID := make(map[string][]Execution, len(e.Executions))
	for _, run := range e.Executions {
		byID[run.RequestID] = append(byID[run.RequestID], run)
	}
	return byID
}
