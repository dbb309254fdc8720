package report

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// Verify compares the records with what the callers observed and the servers ran.
func Verify(j *Journal, e Evidence) Verification {
	v := &verifier{journal: j, evidence: e, executions: e.executionsByID(), losses: newLossIndex(j)}
	v.result = newVerification(len(e.Requests), j.Losses())
	known := map[string]bool{}
	for n := range e.Requests {
		known[e.Requests[n].RequestID] = true
		v.checkRequest(&e.Requests[n])
	}
	for _, id := range j.RequestIDs() {
		if !known[id] {
			known[id] = true
			v.result.NotOfCallers++
			v.checkClaims(j.HistoryOf(id), nil)
		}
	}
	v.checkUnknownExecutions(known)
	if e.DroppedExecutions > 0 {
		v.result.Unchecked = append(v.result.Unchecked, fmt.Sprintf("%d runs did not fit into the run log, so an answer without a run proves nothing", e.DroppedExecutions))
	}
	return v.result
}

type verifier struct {
	journal    *Journal
	evidence   Evidence
	executions map[string][]Execution
	losses     lossIndex
	result     Verification
}

// checkRequest checks one request of a caller and counts it.
func (v *verifier) checkRequest(s *SentRequest) {
	h := v.journal.HistoryOf(s.RequestID)
	attempts := s.sentAttempts()
	switch {
	case len(attempts) == 0 && len(h.Records) == 0:
		v.result.NeverSent++
	case len(h.Records) == 0:
		v.result.NoRecord++
		v.addMissing(s, "no record")
	case len(h.Conclusions) < len(attempts):
		v.result.InRecords++
		v.result.Partial++
		v.addMissing(s, fmt.Sprintf("%d of %d conclusions recorded", len(h.Conclusions), len(attempts)))
	default:
		v.result.InRecords++
	}
	v.countOutcome(h)
	v.checkClaims(h, s)
	v.checkOutcomes(h, s)
}

// checkUnknownExecutions reports the executions of requests that no caller sent and no
// record names.
func (v *verifier) checkUnknownExecutions(known map[string]bool) {
	for _, run := range v.evidence.Executions {
		if !known[run.RequestID] {
			known[run.RequestID] = true
			description := fmt.Sprintf("ran on server %s, but no caller sent it and no record names it", run.Server)
			v.result.Unaccounted = append(v.result.Unaccounted, MissingRequest{RequestID: run.RequestID, Description: description})
		}
	}
}

// addMissing adds a request with missing records to KnownMissing if a gap of an instance
// explains them, and to Unaccounted otherwise.
func (v *verifier) addMissing(s *SentRequest, description string) {
	m := MissingRequest{RequestID: s.RequestID, Description: description}
	if m.Instance = v.losses.instanceThatLost(s); m.Instance != "" {
		v.result.KnownMissing = append(v.result.KnownMissing, m)
		return
	}
	v.result.Unaccounted = append(v.result.Unaccounted, m)
}

func (v *verifier) countOutcome(h *RequestHistory) {
	switch h.Outcome() {
	case outcome.Answered:
		v.result.Answered++
	case outcome.NotRun:
		v.result.NotRun++
	case outcome.Unknown:
		v.result.Unknown++
	}
}

// checkClaims checks what callers and records claim about a request against its
// executions. s is nil for a request that is not in the callers' log.
func (v *verifier) checkClaims(h *RequestHistory, s *SentRequest) {
	runs := v.executions[h.ID]
	if v.claimedNotRun(h, s) && len(runs) > 0 {
		v.addViolation(h.ID, "claimed not run, but server %s ran it at %s (I6)", runs[0].Server, runs[0].Start.Format(time.RFC3339Nano))
	}
	if v.claimedAnswered(h, s) && len(runs) == 0 && v.evidence.DroppedExecutions == 0 {
		v.addViolation(h.ID, "claimed answered, but no server ran it (I5)")
	}
	if len(runs) > 1 && v.runsAtMostOnce(h, s, runs) {
		v.addViolation(h.ID, "not idempotent, but it ran %d times (I7)", len(runs))
	}
	if s != nil && s.hasMismatchedResponse() {
		v.addViolation(h.ID, "its caller got the answer of another request (I5)")
	}
	for _, contradiction := range v.contradictions(h, s) {
		v.addViolation(h.ID, "the records contradict each other: %s", contradiction)
	}
}

// contradictions omits those that a missing conclusion may explain.
func (v *verifier) contradictions(h *RequestHistory, s *SentRequest) []string {
	if s != nil && len(h.Conclusions) >= len(s.sentAttempts()) {
		return h.Contradictions()
	}
	return h.repeatedExecution()
}

// claimedNotRun reports whether every attempt was concluded as "not run". The records
// prove it only if none of the caller's attempts can be missing from them.
func (v *verifier) claimedNotRun(h *RequestHistory, s *SentRequest) bool {
	recorded := h.Outcome() == outcome.NotRun
	if s == nil {
		return recorded && len(gapsOf(v.journal, h)) == 0
	}
	return s.claimedNotRun() || recorded && len(h.Conclusions) >= len(s.sentAttempts())
}

func (v *verifier) claimedAnswered(h *RequestHistory, s *SentRequest) bool {
	return h.Outcome() == outcome.Answered || s != nil && s.countOutcome(outcome.Answered) > 0
}

// runsAtMostOnce reports whether the request may run only once. One source that marks it
// as not idempotent is enough: the records, the caller or an execution.
func (v *verifier) runsAtMostOnce(h *RequestHistory, s *SentRequest, runs []Execution) bool {
	if h.IdempotenceKnown && !h.Idempotent || s != nil && !s.Idempotent {
		return true
	}
	for _, run := range runs {
		if !run.Idempotent {
			return true
		}
	}
	return false
}

// checkOutcomes checks that each outcome that the caller received is in the records.
func (v *verifier) checkOutcomes(h *RequestHistory, s *SentRequest) {
	if len(h.Conclusions) < len(s.sentAttempts()) {
		return
	}
	for _, claimed := range []outcome.Outcome{outcome.Answered, outcome.NotRun, outcome.Unknown} {
		recorded := 0
		for _, conclusion := range h.Conclusions {
			if conclusion.Outcome == claimed {
				recorded++
			}
		}
		if count := s.countOutcome(claimed); count > recorded {
			v.addViolation(s.RequestID, "its caller was told %s %d times, but the records say it %d times", claimed, count, recorded)
		}
	}
}

func (v *verifier) addViolation(id, format string, values ...any) {
	v.result.Violations = append(v.result.Violations, Violation{RequestID: id, Description: fmt.Sprintf(format, values...)})
}
