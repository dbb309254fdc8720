package peer

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/record"
)

// MirrorHandler stores copies of request records. record.Mirror implements it.
type MirrorHandler interface {
	Copy(c record.CopyRequest) record.CopyReply
	Fetch(f record.FetchRequest) ([]record.Record, time.Time, error)
}
