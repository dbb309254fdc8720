package report

import "peridotmoor.org/peridotmoor/internal/outcome"

// Unanswered lists the requests that may have run without their caller getting the answer.
type Unanswered struct {
	Window   Window              `json:"window"`
	Requests []UnansweredRequest `json:"requests"`
	// Missing says which records are known to be missing; more requests may be concerned.
	Missing []string `json:"missing"`
}

// What the records show about a run.
const (
	ExecutionConfirmed = "ran"
	ExecutionPossible  = "may have run"
	NoDispatchRecorded = "no dispatch recorded"
)

// FindUnanswered returns the requests that arrived in the window and may have run
// without their caller getting the answer. A request whose conclusion is not
// recorded is one of them unless all its dispatches provably did not run.
func FindUnanswered(j *Journal, w Window) Unanswered {
	u := Unanswered{Window: w, Requests: []UnansweredRequest{}, Missing: j.Losses()}
	for _, h := range j.Histories(w) {
		if h.mayHaveRunUnanswered() {
			u.Requests = append(u.Requests, h.unanswered())
		}
	}
	return u
}

func (h *RequestHistory) mayHaveRunUnanswered() bool {
	switch h.Outcome() {
	case outcome.Answered:
		return false
	case outcome.NotRun:
		return len(h.possibleExecutions()) > 0
	default:
		return true
	}
}

// possibleExecutions returns the dispatches that may have run the request.
func (h *RequestHistory) possibleExecutions() []*Dispatch {
	var found []*Dispatch
	for n := range h.Dispatches {
		if h.Dispatches[n].MayHaveRun() {
			found = append(found, &h.Dispatches[n])
		}
	}
	return found
}

func (h *RequestHistory) unanswered() UnansweredRequest {
	u := UnansweredRequest{ID: h.ID, Service: h.Service, Key: h.Key, Idempotent: h.Idempotent, IdempotenceKnown: h.IdempotenceKnown,
		Arrived: h.Start(), Outcome: h.Outcome(), Ran: NoDispatchRecorded, Proof: h.Proof()}
	if told := h.decidingConclusion(); told != nil {
		u.Kind = told.Kind
	} else {
		u.Outcome = OutcomeNotRecorded
	}
	for _, d := range h.possibleExecutions() {
		u.Servers = append(u.Servers, d.Server)
		if d.Answered {
			u.Ran = ExecutionConfirmed
		} else if u.Ran == NoDispatchRecorded {
			u.Ran = ExecutionPossible
		}
	}
	return u
}
