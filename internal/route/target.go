// Package route has the immutable routing view of a shard that requests read at
// the holder: which server owns each range and which servers accept new requests.
package route

import (
	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/backend"
)

// Target is a backend server as seen by the holder. Successive views share the
// same Target for as long as the holder knows the server.
type Target struct {
	Name   string
	Domain string
	Server backend.Server
	// Limiter does admission control: slots, queue and slow start of the server.
	Limiter *admission.Limiter
	// ChecksTokens reports whether the server itself refuses orders of a superseded holder.
	ChecksTokens bool
}
