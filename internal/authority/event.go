package authority

import "peridotmoor.org/peridotmoor/internal/key"

// Event is a decision of a Node to be logged.
type Event struct {
	Kind  EventKind
	Shard key.ShardID
	Token Token
	// Other is the instance that the event concerns, if any.
	Other Instance
}
