package check

import "fmt"

// checkOwners finds keys with two owners. A grant that arrives just after an impairment
// does not count: the platform's pages except it, as its sender could not know better.
func checkOwners(e *Evidence) []Violation {
	var found []Violation
	for _, c := range e.Conflicts {
		if e.Impairments.duringOrAfter(c.GrantsArrivedAt[0], thawSlack) || e.Impairments.duringOrAfter(c.GrantsArrivedAt[1], thawSlack) {
			continue
		}
		found = append(found, Violation{"two owners", fmt.Sprintf("%s and %s both ran requests of key %d, the second one %s", c.First, c.Second, c.Key, c.RequestID), []string{c.RequestID}})
	}
	return found
}
