package crashes

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Loss is the end of the connection to a server without a response to a request, which
// may have crashed the server. It is immutable.
type Loss struct {
	// Content is the hash of what identifies the request when it is sent again.
	Content uint64
	// ID identifies the loss in the fleet.
	ID uint64
	// At is when the connection was lost.
	At time.Time
	// Excused is set once it is known that the request did not crash the server.
	Excused bool
}

// LossID returns the ID of the loss of an attempt, which has a number within its instance.
func LossID(instance string, number uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(instance), number))
}

// counts reports whether the loss counts against its request at now.
func (l Loss) counts(now time.Time) bool {
	return !l.Excused && now.Sub(l.At) < lossTTL
}
