package check

import (
	"fmt"

	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
)

// checkPauses finds servers that got more than a few requests from an instance while they
// had asked it for a pause.
func checkPauses(e *Evidence) []Violation {
	arrivals := map[passedOnKey][]backend.Arrival{}
	key := func(arrival backend.Arrival) (passedOnKey, bool) {
		a := e.attempts[arrival.RequestID]
		if a == nil {
			return passedOnKey{}, false
		}
		return passedOnKey{processKey{a.Instance, a.Process}, arrival.Server}, true
	}
	for _, arrival := range e.Arrivals {
		if k, ok := key(arrival); ok {
			arrivals[k] = append(arrivals[k], arrival)
		}
	}
	var found []Violation
	for _, refusal := range e.Arrivals {
		k, ok := key(refusal)
		if !ok || refusal.Pause <= pauseDelay {
			continue
		}
		from, until := refusal.At.Add(pauseDelay), refusal.At.Add(refusal.Pause)
		var ids []string
		for _, arrival := range arrivals[k] {
			if arrival.At.After(from) && arrival.At.Before(until) {
				ids = append(ids, arrival.RequestID)
			}
		}
		if len(ids) > pauseSlack && !e.Impairments.any(k.process.instance, refusal.At, until) {
			found = append(found, Violation{"pause", fmt.Sprintf("%s got %d requests from %s process %d in a pause of %.3f s", k.server, len(ids),
				k.process.instance, k.process.number, refusal.Pause.Seconds()), ids})
		}
	}
	return found
}
