package shard

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// answer is how a call ended.
type callResult struct {
	server        *managedServer
	messageNumber uint64
	// unsent reports that the tenure did not cover the call, which therefore never left.
	unsent     bool
	response   backend.GrantAnswer
	receivedAt time.Time
	err        error
}
