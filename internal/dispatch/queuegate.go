package dispatch

import (
	"context"

	"github.com/pkg/errors"
)

// errQueueClosed is the cause with which waits end at a hand-over.
var errQueueClosed = errors.New("the shard is being handed over")

// queueGate ends the waits of requests that have not been sent to a server.
type queueGate struct {
	ctx   context.Context
	close context.CancelCauseFunc
}

// openGate is never closed.
var openGate = &queueGate{ctx: context.Background()}

func newQueueGate() *queueGate {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &queueGate{ctx: ctx, close: cancel}
}

// attach returns a context that ends with ctx and with the gate, and the function that
// releases it.
func (g *queueGate) attach(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.ctx, func() { cancel(errQueueClosed) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func (g *queueGate) isClosed() bool {
	return g.ctx.Err() != nil
}
