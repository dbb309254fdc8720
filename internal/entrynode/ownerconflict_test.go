package entrynode

import (
	"fmt"
	"time"
)

// ownerConflict is a server that had a grant for a key while another one started to
// execute a request for it.
type ownerConflict struct {
	key               int
	at                time.Time
	executing, owning string
	// executingGrant and owningGrant are the grants of both servers at that time.
	executingGrant, owningGrant keyGrant
}

// String returns one line with times in UTC, as in the log.
func (c ownerConflict) String() string {
	return fmt.Sprintf("%s key %d: %s executes with fence %d until %s, %s has fence %d until %s", clock(c.at), c.key,
		c.executing, c.executingGrant.fence, clock(c.executingGrant.expiresAt), c.owning, c.owningGrant.fence, clock(c.owningGrant.expiresAt))
}
