package check

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// checkLeaving finds requests that reached a server too long after the same process had
// passed on a response in which that server says that it is leaving.
func checkLeaving(e *Evidence) []Violation {
	told := e.passedOn(func(a *caller.Attempt) bool { return a.ServerLeaving })
	var found []Violation
	for _, arrival := range e.Arrivals {
		a := e.attempts[arrival.RequestID]
		if a == nil {
			continue
		}
		at, known := told[passedOnKey{processKey{a.Instance, a.Process}, arrival.Server}]
		if !known || !a.SentAt.After(at.Add(leavingTime)) || e.Impairments.any(Freeze(a.Instance), at, arrival.At) {
			continue
		}
		found = append(found, Violation{"leaving", fmt.Sprintf("%s was sent %.3f s after %s process %d had passed on that %s is leaving, and reached it",
			a.ID, a.SentAt.Sub(at).Seconds(), a.Instance, a.Process, arrival.Server), []string{a.ID}})
	}
	return found
}

// passedOn returns when each process first passed on a matching response of each server.
func (e *Evidence) passedOn(matches func(*caller.Attempt) bool) map[passedOnKey]time.Time {
	first := map[passedOnKey]time.Time{}
	for _, a := range e.Attempts {
		key := passedOnKey{processKey{a.Instance, a.Process}, a.Server()}
		if at, known := first[key]; key.server != "" && matches(a) && (!known || a.EndedAt.Before(at)) {
			first[key] = a.EndedAt
		}
	}
	return first
}
