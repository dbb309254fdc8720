// Package shardrecord reads and writes shard records. Each shard has one record
// in the platform's store, with its witnesses and its assignment.
package shardrecord

import (
	"encoding/json"
	"slices"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// maxRecentWriteIDs limits the write IDs kept of overwritten values. A writer
// that lost the store's response finds its ID among them unless more writes
// followed. At 2 writes per second and shard they cover 4 s until the record is
// read back.
const maxRecentWriteIDs = 8

// Record is the durable state of one shard.
type Record struct {
	Config authority.WitnessConfig
	// Sequence is incremented by each write.
	Sequence uint64
	// WriteID is unique to the write that stored this value.
	WriteID string
	// RecentWriteIDs are the write IDs of the preceding values, latest first.
	RecentWriteIDs []string
	// Assignment is encoded by the shard package; it is stored unchanged.
	Assignment json.RawMessage
}

// includesWrite reports whether the write with this ID stored the record or one
// of those it replaced recently.
func (r Record) includesWrite(writeID string) bool {
	return r.WriteID == writeID || slices.Contains(r.RecentWriteIDs, writeID)
}

// successor returns next with the sequence and write IDs of the value that
// follows r.
func (r Record) successor(next Record, writeID string) Record {
	next.Sequence = r.Sequence + 1
	next.WriteID = writeID
	next.RecentWriteIDs = nil
	if r.WriteID != "" {
		next.RecentWriteIDs = append([]string{r.WriteID}, r.RecentWriteIDs...)
	}
	if len(next.RecentWriteIDs) > maxRecentWriteIDs {
		next.RecentWriteIDs = next.RecentWriteIDs[:maxRecentWriteIDs]
	}
	return next
}
