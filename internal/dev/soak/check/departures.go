package check

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// checkDepartures finds requests that reached a server too long after the store had accepted
// its word that it leaves, whatever the state of the links and of the store.
func checkDepartures(e *Evidence) []Violation {
	var found []Violation
	e.afterDeparture(func(a *caller.Attempt, server string, after time.Duration) {
		if after > leavingTime {
			found = append(found, Violation{"departure", fmt.Sprintf("%s reached %s from %s process %d %.3f s after the store had accepted that the server leaves",
				a.ID, server, a.Instance, a.Process, after.Seconds()), []string{a.ID}})
		}
	})
	return found
}

// afterDeparture calls visit with each request that reached a server after the store had
// accepted that the server leaves. A freeze of the instance in between excuses it.
func (e *Evidence) afterDeparture(visit func(a *caller.Attempt, server string, after time.Duration)) {
	ackedAt := map[string]time.Time{}
	for _, d := range e.Departures {
		ackedAt[d.Server] = d.AckedAt
	}
	for _, arrival := range e.Arrivals {
		at, left := ackedAt[arrival.Server]
		a := e.attempts[arrival.RequestID]
		if left && a != nil && arrival.At.After(at) && !e.Impairments.any(Freeze(a.Instance), at, arrival.At) {
			visit(a, arrival.Server, arrival.At.Sub(at))
		}
	}
}

// LastSends returns, in ascending order, how long after the departure of a server each
// process sent it the last request, for those that sent one.
func (e *Evidence) LastSends() []time.Duration {
	last := map[passedOnKey]time.Duration{}
	e.afterDeparture(func(a *caller.Attempt, server string, after time.Duration) {
		key := passedOnKey{processKey{a.Instance, a.Process}, server}
		last[key] = max(last[key], after)
	})
	return sorted(last)
}
