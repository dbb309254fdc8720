package check

import (
	"fmt"

	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
)

// checkOwners finds keys with two owners.
func checkOwners(e *Evidence) []Violation {
	var found []Violation
	for _, c := range e.Conflicts {
		switch {
		case e.excusesGrants(c):
		case c.OldFence != 0:
			found = append(found, Violation{Check: "two owners", Message: fmt.Sprintf("%s took key %d under the fence %d, which is not above that of %s", c.Second, c.Key, c.OldFence, c.First)})
		case c.RequestID == "":
			found = append(found, Violation{Check: "two owners", Message: fmt.Sprintf("%s and %s both held key %d for over 0.5 s", c.First, c.Second, c.Key)})
		default:
			found = append(found, Violation{"two owners", fmt.Sprintf("%s and %s both ran requests of key %d, the second one %s", c.First, c.Second, c.Key, c.RequestID), []string{c.RequestID}})
		}
	}
	return found
}

// excusesGrants reports whether the platform's pages except one of the grants: it arrived
// just after its sender was thawed or a link healed, or, for a key that was only held by
// both servers, the links of its server were impaired on its arrival.
func (e *Evidence) excusesGrants(c backend.Conflict) bool {
	for n, server := range []string{c.First, c.Second} {
		arrived := c.GrantsArrivedAt[n]
		if e.Impairments.endedBefore(arrived, thawSlack) || c.RequestID == "" && c.OldFence == 0 && e.Impairments.any(server, arrived.Add(-thawSlack), arrived) {
			return true
		}
	}
	return false
}
