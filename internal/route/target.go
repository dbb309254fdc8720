// Package route holds the immutable view of one shard that a request reads at
// the holder: who owns which range and which servers may run what.
package route

import (
	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/backend"
)

// Target is one backend server as seen by the holder. The same Target lives on
// through all views while the holder knows the server.
type Target struct {
	Name   string
	Domain string
	Server backend.Server
	// Limiter holds the server's slots, queue and cold start allowance.
	Limiter *admission.Limiter
	// ChecksTokens reports whether the server itself refuses orders of a deposed holder.
	ChecksTokens bool
}
