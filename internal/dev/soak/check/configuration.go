package check

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// checkConfiguration finds requests that were handled by an older configuration than
// the one that had to be in effect, or than one that its process had used before.
func checkConfiguration(e *Evidence) []Violation {
	attempts := slices.Clone(e.Attempts)
	slices.SortFunc(attempts, func(a, b *caller.Attempt) int { return a.StartedAt.Compare(b.StartedAt) })
	var found []Violation
	seen := map[processKey][]sighting{}
	for _, a := range attempts {
		handledAt, oldest, newest, known := e.handledBy(a)
		if !known {
			continue
		}
		p := e.process(a)
		if e.inTouch(p, a.StartedAt) && e.inTouch(p, handledAt) && newest < e.required(a.StartedAt) {
			found = append(found, Violation{"configuration", fmt.Sprintf("%s was handled by version %d or older %.3f s after version %d was accepted",
				a.ID, newest, a.StartedAt.Sub(e.acceptedAt(newest+1)).Seconds(), newest+1), []string{a.ID}})
		}
		slack := rollbackSlack
		if e.Impairments.any(a.Instance, a.StartedAt.Add(-stableWindow), handledAt) {
			slack = slowRollbackSlack
		}
		id := processKey{a.Instance, a.Process}
		floor := 0
		for _, s := range seen[id] {
			if s.at.Add(slack).Before(a.StartedAt) {
				floor = max(floor, s.version)
			}
		}
		if newest < floor {
			found = append(found, Violation{"configuration", fmt.Sprintf("%s was handled by version %d or older after its process had used version %d", a.ID, newest, floor), []string{a.ID}})
		}
		if a.Answered() {
			seen[id] = append(seen[id], sighting{handledAt, max(oldest, floor)})
		}
	}
	return found
}

// handledBy returns the oldest and the newest version by which the attempt can have
// been handled, and when. It is known for routes that differ between versions.
func (e *Evidence) handledBy(a *caller.Attempt) (at time.Time, oldest, newest int, known bool) {
	added, isAdded := e.AddedIn[a.Route.Name]
	runs := e.runs[a.ID]
	switch {
	case isAdded && a.Result == caller.Complete && a.Status == http.StatusNotFound:
		return a.EndedAt, 0, added - 1, true
	case isAdded && len(runs) > 0:
		return runs[0].Start, added, len(e.Versions), true
	case a.Route.Name == e.MovedRoute && len(runs) > 0:
		for _, v := range e.Versions {
			if v.MovedService != runs[0].Service || v.AcceptedAt.After(runs[0].Start) {
				continue
			}
			if oldest == 0 {
				oldest = v.Number
			}
			newest = v.Number
		}
		return runs[0].Start, oldest, newest, true
	}
	return at, 0, 0, false
}

// required returns the newest version that had to be in effect at the given time.
func (e *Evidence) required(at time.Time) int {
	newest := 0
	for _, v := range e.Versions {
		if v.AcceptedAt.Add(configDeadline).Before(at) {
			newest = v.Number
		}
	}
	return newest
}

func (e *Evidence) acceptedAt(version int) time.Time {
	for _, v := range e.Versions {
		if v.Number == version {
			return v.AcceptedAt
		}
	}
	return time.Time{}
}
