package facts

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// formerServerRetention is how long a server that is listed no more is remembered: longer
// than any hold and the service of one that leaves slowly.
const formerServerRetention = 60 * time.Second

// formerServer is a server that is listed no more.
type formerServer struct {
	server fleet.Server
	since  time.Time
}
