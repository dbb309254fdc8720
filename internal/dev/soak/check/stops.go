package check

import (
	"fmt"
	"strings"
)

// endedBySIGTERM is how a process ends that gets SIGTERM before it handles signals. It
// has accepted nothing by then.
const endedBySIGTERM = "signal: terminated"

// checkStops finds processes that did not end by themselves within the grace period, or
// ended without a reason.
func checkStops(e *Evidence) []Violation {
	var found []Violation
	for _, p := range e.Processes {
		name := fmt.Sprintf("%s process %d", p.Instance, p.Number)
		stopped, killed := !p.StoppedAt.IsZero(), !p.KilledAt.IsZero()
		switch {
		case stopped && killed && !e.Impairments.any(p.Instance, p.StoppedAt, p.KilledAt):
			found = append(found, Violation{Check: "grace period", Message: name + " had not ended at the end of the grace period"})
		case stopped && !killed && p.Failure != "" && !strings.Contains(p.Failure, endedBySIGTERM):
			found = append(found, Violation{Check: "process", Message: name + " failed during a planned stop: " + p.Failure})
		case !stopped && !killed && !p.EndedAt.IsZero():
			found = append(found, Violation{Check: "process", Message: name + " ended by itself: " + p.Failure})
		}
	}
	return found
}
