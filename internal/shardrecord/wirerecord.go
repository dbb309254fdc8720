package shardrecord

import "encoding/json"

// wireRecord is the stored JSON form of a record.
type wireRecord struct {
	Epoch             uint64          `json:"epoch"`
	Witnesses         []wireMember    `json:"witnesses"`
	PreviousWitnesses [][]wireMember  `json:"previous_witnesses,omitempty"`
	Sequence          uint64          `json:"sequence"`
	WriteID           string          `json:"write_id"`
	RecentWriteIDs    []string        `json:"recent_write_ids,omitempty"`
	Assignment        json.RawMessage `json:"assignment,omitempty"`
}
