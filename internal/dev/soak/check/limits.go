package check

import (
	"fmt"
	"slices"

	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// checkLimits finds servers that got more requests than the limit that they named allows.
func checkLimits(e *Evidence) []Violation {
	var found []Violation
	for _, limit := range e.Limits {
		counted := e.countedForLimit(limit)
		allowed := limitRatio*limit.PerSecond*limitWindow.Seconds() + limitSlack
		for first, last := 0, 0; last < len(counted); last++ {
			for counted[last].At.Sub(counted[first].At) >= limitWindow {
				first++
			}
			if n := last - first + 1; float64(n) > allowed {
				found = append(found, Violation{"limit", fmt.Sprintf("%s got %d requests in %v up to %.3f s after it had named a limit of %.2f requests/s, %.1f are allowed",
					limit.Server, n, limitWindow, counted[last].At.Sub(limit.From).Seconds(), limit.PerSecond, allowed), nil})
				break
			}
		}
	}
	return found
}

// countedForLimit returns the requests that count for the limit, in order of their
// arrival: those from instances in order that had passed on before that the server names it.
func (e *Evidence) countedForLimit(limit backend.Limit) []backend.Arrival {
	told := e.passedOn(func(a *caller.Attempt) bool { return a.Server() == limit.Server && a.EndedAt.After(limit.From) })
	var counted []backend.Arrival
	for _, arrival := range e.Arrivals {
		a := e.attempts[arrival.RequestID]
		if a == nil || arrival.Server != limit.Server || arrival.At.Before(limit.From.Add(stableWindow)) || arrival.At.After(limit.Until) {
			continue
		}
		at, known := told[passedOnKey{processKey{a.Instance, a.Process}, arrival.Server}]
		if !known || arrival.At.Before(at.Add(pauseDelay)) || e.Impairments.any(a.Instance, arrival.At.Add(-limitWindow), arrival.At) {
			continue
		}
		counted = append(counted, arrival)
	}
	slices.SortFunc(counted, func(a, b backend.Arrival) int { return a.At.Compare(b.At) })
	return counted
}
