package authority

import "peridotmoor.org/peridotmoor/internal/key"

// Event reports one decision of a Node.
type Event struct {
	Kind  EventKind
	Shard key.ShardID
	Token Token
	// Other is the instance that the note is about, if any.
	Other Instance
}
