package record

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// CopyRequest is a batch of records that a holder writes to a mirror.
type CopyRequest struct {
	Shard  key.ShardID
	Token  authority.Token
	Holder authority.Instance
	// To is the incarnation that the holder counts on; another one has not the earlier records.
	To      authority.Instance
	Records []Record
	// CompleteSince is the holder's own; a mirror passes it on to the next holder.
	// The zero time is refused, since it would claim a complete table.
	CompleteSince time.Time
}
