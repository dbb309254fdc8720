package authority

import "peridotmoor.org/peridotmoor/internal/key"

// Note reports one decision of a Node.
type Note struct {
	Kind  NoteKind
	Shard key.ShardID
	Token Token
	// Other is the instance that the note is about, if any.
	Other Instance
}
