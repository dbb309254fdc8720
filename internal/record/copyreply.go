package record

import "peridotmoor.org/peridotmoor/internal/authority"

// CopyReply reports whether a mirror has stored the records of a batch.
type CopyReply struct {
	Accepted bool
	// Highest is the highest token that the mirror has accepted for the shard.
	Highest authority.Token
}
