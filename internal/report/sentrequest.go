package report

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// SentRequest is one request as its caller observed it.
type SentRequest struct {
	RequestID  string
	Idempotent bool
	Attempts   []Attempt
	// From is when the request was due, and Until when its caller was finished with it.
	From, Until time.Time
}

// sentAttempts returns the attempts that may have reached an instance.
func (s *SentRequest) sentAttempts() []Attempt {
	var attempts []Attempt
	for _, attempt := range s.Attempts {
		if attempt.Sent {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// countOutcome counts the sent attempts whose caller received the outcome o.
func (s *SentRequest) countOutcome(o outcome.Outcome) int {
	count := 0
	for _, attempt := range s.Attempts {
		if attempt.Sent && attempt.Outcome == o {
			count++
		}
	}
	return count
}

// claimedNotRun reports whether every attempt that may have reached an instance was
// answered with "not run".
func (s *SentRequest) claimedNotRun() bool {
	attempts := len(s.sentAttempts())
	return attempts > 0 && s.countOutcome(outcome.NotRun) == attempts
}

func (s *SentRequest) hasMismatchedResponse() bool {
	for _, attempt := range s.Attempts {
		if attempt.MismatchedResponse {
			return true
		}
	}
	return false
}
