package backend

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// GrantResponse is the server's acknowledgement of a grant.
type GrantResponse struct {
	// Clock is the server's monotonic clock at the time of the response.
	Clock time.Duration
	// Incarnation identifies the server process. A restarted server has a new one and no grant.
	Incarnation string
	// Highest is the highest token that the server has accepted for the shard.
	Highest authority.Token
	// Running is the number of requests that the server is running.
	Running int
	// Leaving is set if the server is draining and should get no new requests.
	Leaving bool
}
