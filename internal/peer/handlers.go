package peer

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/record"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Handlers serve the calls of other instances. All fields are required.
type Handlers struct {
	Requests request.Handler
	Witness  WitnessHandler
	Mirror   MirrorHandler
}

// WitnessHandler serves promise requests.
type WitnessHandler interface {
	HandlePromise(ctx context.Context, r authority.PromiseRequest) (authority.PromiseReply, error)
}

// MirrorHandler keeps copies of request records. record.Mirror implements it.
type MirrorHandler interface {
	Copy(c record.CopyRequest) record.CopyReply
	Fetch(f record.FetchRequest) ([]record.Record, time.Time, error)
}
