package report

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

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

// Run is one run of a request on a backend server.
type Run struct {
	RequestID  string
	Server     string
	Idempotent bool
	Start      time.Time
}

// Sent is one request as its caller saw it.
type Sent struct {
	RequestID  string
	Idempotent bool
	Attempts   []Attempt
	// From is when the request was due and Until when its caller was done with it.
	From, Until time.Time
}

// Attempt is one sending to one entry instance.
type Attempt struct {
	// Entry is the address that the caller used.
	Entry string
	// Sent reports whether a byte may have been written.
	Sent bool
	// Outcome is what the instance claimed; empty when the caller got no whole answer.
	Outcome outcome.Outcome
	// Crossed reports a whole answer that was another request's.
	Crossed bool
}

// reached returns the attempts that may have reached an instance.
func (s *Sent) reached() []Attempt {
	var reached []Attempt
	for _, attempt := range s.Attempts {
		if attempt.Sent {
			reached = append(reached, attempt)
		}
	}
	return reached
}

// told counts the attempts that were told an outcome.
func (s *Sent) told(o outcome.Outcome) int {
	count := 0
	for _, attempt := range s.Attempts {
		if attempt.Sent && attempt.Outcome == o {
			count++
		}
	}
	return count
}

// claimedNotRun reports whether every attempt that reached an instance was told "not run".
func (s *Sent) claimedNotRun() bool {
	reached := len(s.reached())
	return reached > 0 && s.told(outcome.NotRun) == reached
}

func (s *Sent) crossed() bool {
	for _, attempt := range s.Attempts {
		if attempt.Crossed {
			return true
		}
	}
	return false
}
