package shard

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// callResult is the outcome of a call to a server.
type callResult struct {
	server        *managedServer
	messageNumber uint64
	// unsent reports that the call was not sent because the tenure did not cover it.
	unsent     bool
	response   backend.GrantResponse
	receivedAt time.Time
	err        error
}
