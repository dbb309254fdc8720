package router

import (
	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// committedAssignment is the assignment as stored in the shard record. The token fences
// off commits of superseded holders.
type committedAssignment struct {
	Token      authority.Token   `json:"token"`
	Assignment assign.Assignment `json:"assignment"`
}
