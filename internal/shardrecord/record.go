// Package shardrecord reads and writes the shard record, the one value per shard
// in the platform's store that names its witnesses and its assignment.
package shardrecord

import (
	"encoding/json"
	"slices"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// recentWrites bounds the write IDs kept of overwritten values. A writer whose
// answer was lost finds its ID among them unless more writes followed; at 2
// writes a second per shard they cover 4 s of read-back.
const recentWrites = 8

// Record is the durable state of one shard.
type Record struct {
	Config authority.WitnessConfig
	// Sequence rises by one with each write.
	Sequence uint64
	// WriteID is unique to the write that made this value.
	WriteID string
	// RecentWriteIDs are the write IDs of the values before this one, latest first.
	RecentWriteIDs []string
	// Assignment is owned by the shard package and kept as it is.
	Assignment json.RawMessage
}

// contains reports whether the write with this ID led to the record.
func (r Record) contains(writeID string) bool {
	return r.WriteID == writeID || slices.Contains(r.RecentWriteIDs, writeID)
}

// successor returns next as the value that follows r.
func (r Record) successor(next Record, writeID string) Record {
	next.Sequence = r.Sequence + 1
	next.WriteID = writeID
	next.RecentWriteIDs = nil
	if r.WriteID != "" {
		next.RecentWriteIDs = append([]string{r.WriteID}, r.RecentWriteIDs...)
	}
	if len(next.RecentWriteIDs) > recentWrites {
		next.RecentWriteIDs = next.RecentWriteIDs[:recentWrites]
	}
	return next
}
