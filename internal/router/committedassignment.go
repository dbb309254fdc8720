package router

import (
	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// committedAssignment is what the shard record holds for the shard package. The
// token fences commits of deposed holders.
type committedAssignment struct {
	Token      authority.Token   `json:"token"`
	Assignment assign.Assignment `json:"assignment"`
}
