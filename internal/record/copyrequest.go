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
	// To is the incarnation of the mirror; another one does not have the earlier records.
	To      authority.Instance
	Records []Record
	// CompleteSince is the creation time since which the holder has all records; a mirror
	// passes it on to the next holder. The zero time is refused, since it would state
	// that no record is missing.
	CompleteSince time.Time
}
