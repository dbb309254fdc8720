package backend

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// GrantResponse is the server's acknowledgement of a grant.
type GrantResponse struct {
	// Clock is the server's monotonic clock when it answered.
	Clock time.Duration
	// Incarnation changes when the server restarts; a new one holds no grant.
	Incarnation string
	// Highest is the highest token the server has accepted for the shard.
	Highest authority.Token
	// Running counts the requests that the server is running now.
	Running int
	// Leaving reports that the server is draining and should get no new work.
	Leaving bool
}
