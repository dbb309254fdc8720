package check

import (
	"fmt"

	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// checkBodies finds requests of which a server that had answered early got only a part, although
// the success has reached the caller.
func checkBodies(e *Evidence) []Violation {
	var found []Violation
	for _, b := range e.Bodies {
		a := e.attempts[b.RequestID]
		if b.Whole || a == nil || !a.Answered() || a.Server() != b.Server || e.excusesBody(a, b) {
			continue
		}
		found = append(found, Violation{"body cut", fmt.Sprintf("%s succeeded, and %s got %d bytes of its body", a.ID, b.Server, b.Bytes), []string{a.ID}})
	}
	return found
}

// excusesBody reports whether the body could not be delivered: the process was killed, or the
// server was still reading in the last part of the grace period.
func (e *Evidence) excusesBody(a *caller.Attempt, b backend.Body) bool {
	p := e.process(a)
	return !p.KilledAt.IsZero() && p.KilledAt.Before(b.EndedAt) || !p.StoppedAt.IsZero() && b.EndedAt.After(p.StoppedAt.Add(GracePeriod-lastPart))
}
