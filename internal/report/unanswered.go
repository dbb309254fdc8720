package report

import "peridotmoor.org/peridotmoor/internal/outcome"

// Unanswered lists the requests that may have run although their caller did not get the
// answer.
type Unanswered struct {
	Window   Window              `json:"window"`
	Requests []UnansweredRequest `json:"requests"`
	// Missing describes the records that are known to be missing; more requests may be
	// affected.
	Missing []string `json:"missing"`
}

// Values of UnansweredRequest.Ran: what the records show about an execution.
const (
	ExecutionConfirmed = "ran"
	ExecutionPossible  = "may have run"
	NoDispatchRecorded = "no dispatch recorded"
)

// FindUnanswered returns the requests that arrived in the window and may have run although
// their caller did not get the answer. A request without a recorded conclusion is always
// one of them.
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
	if conclusion := h.decidingConclusion(); conclusion != nil {
		u.Kind = conclusion.Kind
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
