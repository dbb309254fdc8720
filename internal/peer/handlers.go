package peer

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/record"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Handlers serve the calls of other instances. All fields are required.
type Handlers struct {
	Requests request.Handler
	Witness  WitnessHandler
	Mirror   MirrorHandler
	Exchange ExchangeHandler
	HandOver HandOverHandler
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

// ExchangeHandler serves exchanges. publish.Publisher implements it.
type ExchangeHandler interface {
	Exchange(ctx context.Context, r exchange.Request) (exchange.Reply, error)
}

// HandOverHandler prepares to take a shard over. An error says why it does not.
type HandOverHandler interface {
	HandleHandOver(ctx context.Context, h HandOver) error
}
