package check

import "fmt"

// checkRuns finds non-idempotent requests that ran more than once, over all attempts of
// a request, and runs of requests that nobody sent.
func checkRuns(e *Evidence) []Violation {
	var found []Violation
	if e.DroppedRuns > 0 {
		found = append(found, Violation{Check: "evidence", Message: fmt.Sprintf("%d runs did not fit into the log", e.DroppedRuns)})
	}
	sent := map[string]bool{}
	ranIDs := map[string][]string{}
	for _, a := range e.Attempts {
		sent[a.ID] = true
		if a.Route.Idempotent {
			continue
		}
		for range e.runs[a.ID] {
			ranIDs[a.Request] = append(ranIDs[a.Request], a.ID)
		}
	}
	for request, ids := range ranIDs {
		if len(ids) > 1 {
			found = append(found, Violation{"ran twice", fmt.Sprintf("non-idempotent request %s ran %d times", request, len(ids)), ids})
		}
	}
	for id := range e.runs {
		if !sent[id] {
			found = append(found, Violation{"not sent", "a server ran a request that no caller sent: " + id, []string{id}})
		}
	}
	return found
}

// checkRefusals finds requests that ran although their refusal says that they have not
// and never will.
func checkRefusals(e *Evidence) []Violation {
	var found []Violation
	for _, a := range e.Attempts {
		if a.Refused() && len(e.runs[a.ID]) > 0 {
			found = append(found, Violation{"false refusal", fmt.Sprintf("%s got status %d and ran", a.ID, a.Status), []string{a.ID}})
		}
	}
	return found
}
