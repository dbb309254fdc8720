package facts

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// formerServerRetention is how long a server is remembered after it is no longer
// listed. It exceeds the duration of any grant and the time that a leaving server
// may take to finish its requests.
const formerServerRetention = 60 * time.Second

// formerServer is a server that is no longer listed.
type formerServer struct {
	server fleet.Server
	since  time.Time
}
