package check

import (
	"fmt"
	"strconv"
	"strings"

	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// checkAnswers finds responses that are not the complete answer to their own request,
// requests that ran behind an announced close, and proper requests that were rejected.
func checkAnswers(e *Evidence) []Violation {
	var found []Violation
	for _, stray := range e.StrayBytes {
		found = append(found, Violation{Check: "wrong answer", Message: stray})
	}
	var denied []string
	for _, a := range e.Attempts {
		if a.Fault != "" {
			found = append(found, Violation{"wrong answer", a.ID + ": " + a.Fault, []string{a.ID}})
		}
		if a.Answered() && !e.ranAs(a) {
			found = append(found, Violation{"wrong answer", a.ID + " has the stamp of another run: " + a.Stamp, []string{a.ID}})
		}
		if a.Result == caller.Unanswered && len(e.runs[a.ID]) > 0 {
			found = append(found, Violation{"ran behind close", a.ID + " was sent behind a request whose response closed the connection, and ran", []string{a.ID}})
		}
		if e.isDenied(a) {
			denied = append(denied, a.ID)
		}
	}
	if len(denied) > maxDenied+len(e.Attempts)/deniedShare {
		found = append(found, Violation{"denied", fmt.Sprintf("%d proper requests were rejected", len(denied)), denied})
	}
	return found
}

// ranAs reports whether the stamp of the attempt names one of its own runs.
func (e *Evidence) ranAs(a *caller.Attempt) bool {
	index, err := strconv.Atoi(a.Stamp[strings.LastIndex(a.Stamp, ".")+1:])
	return err == nil && index >= 0 && index < len(e.Runs) && e.Runs[index].RequestID == a.ID
}

// isDenied reports whether the attempt got a rejection of its own although it is proper.
// A route that not every configuration has is left to the check of the configuration.
func (e *Evidence) isDenied(a *caller.Attempt) bool {
	_, added := e.AddedIn[a.Route.Name]
	return a.Result == caller.Complete && a.Status >= 300 && a.Status < 500 && !a.Refused() && !added
}
