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
	for _, a := range j.Histories(w) {
		if a.mayHaveRunUnanswered() {
			u.Requests = append(u.Requests, a.unanswered())
		}
	}
	return u
}

func (a *RequestHistory) mayHaveRunUnanswered() bool {
	switch a.Outcome() {
	case outcome.Answered:
		return false
	case outcome.NotRun:
		return len(a.possibleExecutions()) > 0
	default:
		return true
	}
}

// possibleExecutions returns the dispatches that may have run the request.
func (a *RequestHistory) possibleExecutions() []*Dispatch {
	var found []*Dispatch
	for n := range a.Dispatches {
		if a.Dispatches[n].MayHaveRun() {
			found = append(found, &a.Dispatches[n])
		}
	}
	return found
}

func (a *RequestHistory) unanswered() UnansweredRequest {
	u := UnansweredRequest{ID: a.ID, Service: a.Service, Key: a.Key, Idempotent: a.Idempotent, IdempotenceKnown: a.IdempotenceKnown,
		Arrived: a.Start(), Outcome: a.Outcome(), Ran: NoDispatchRecorded, Proof: a.Proof()}
	if told := a.decidingConclusion(); told != nil {
		u.Kind = told.Kind
	} else {
		u.Outcome = OutcomeNotRecorded
	}
	for _, d := range a.possibleExecutions() {
		u.Servers = append(u.Servers, d.Server)
		if d.Answered {
			u.Ran = ExecutionConfirmed
		} else if u.Ran == NoDispatchRecorded {
			u.Ran = ExecutionPossible
		}
	}
	return u
}
