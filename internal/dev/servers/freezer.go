package servers

import (
	"context"
	"sync/atomic"
)

// freezer suspends all work of a server, as SIGSTOP does: calls that arrive are
// blocked and handled after the thaw.
type freezer struct {
	// thawed is nil unless the server is frozen; the thaw closes the channel.
	thawed atomic.Pointer[chan struct{}]
	// blocked gets a value for each call that starts to wait; dropped if the channel is full.
	blocked chan struct{}
}

func (f *freezer) freeze() {
	thawed := make(chan struct{})
	f.thawed.CompareAndSwap(nil, &thawed)
}

func (f *freezer) thaw() {
	if thawed := f.thawed.Swap(nil); thawed != nil {
		close(*thawed)
	}
}

// wait blocks until the server is not frozen or its incarnation, whose context is ctx, has ended.
func (f *freezer) wait(ctx context.Context) {
	thawed := f.thawed.Load()
	if thawed == nil {
		return
	}
	select {
	case f.blocked <- struct{}{}:
	default:
	}
	select {
	case <-*thawed:
	case <-ctx.Done():
	}
}
