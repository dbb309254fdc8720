package report

import (
	"fmt"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// Contradictions returns one sentence for each part of the records that contradicts the
// outcome or the rules of the router. A "not run" that a dispatch refutes is a
// contradiction only if all conclusions are recorded, which the records alone do not show.
func (h *RequestHistory) Contradictions() []string {
	return append(h.refutedNotRun(), h.repeatedExecution()...)
}

func (h *RequestHistory) refutedNotRun() []string {
	if h.Outcome() != outcome.NotRun {
		return nil
	}
	var found []string
	for _, d := range h.endedPossibleExecutions() {
		found = append(found, fmt.Sprintf("the recorded conclusions say not run, but the dispatch to server %s by holder %s may have run it", d.Server, d.Holder))
	}
	return found
}

func (h *RequestHistory) repeatedExecution() []string {
	runs := len(h.endedPossibleExecutions())
	if !h.IdempotenceKnown || h.Idempotent || runs < 2 {
		return nil
	}
	return []string{fmt.Sprintf("the request is not idempotent, but %d of its dispatches may have run it", runs)}
}

// endedPossibleExecutions returns the dispatches with a recorded end by which the server
// may have run the request.
func (h *RequestHistory) endedPossibleExecutions() []*Dispatch {
	var runs []*Dispatch
	for _, d := range h.possibleExecutions() {
		if !d.EndMissing() {
			runs = append(runs, d)
		}
	}
	return runs
}
