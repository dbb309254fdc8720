package servers

import (
	"context"
	"sync/atomic"
)

// freezer halts all work of a server, as a stopped process does: nothing is
// read, run or answered, and what has arrived is handled after the thaw.
type freezer struct {
	// thawed is nil while the server is not frozen, and closed by the thaw.
	thawed atomic.Pointer[chan struct{}]
	// blocked gets a value for each call that begins to wait, as far as it has room.
	blocked chan struct{}
}

func (f *freezer) freeze() {
	fresh := make(chan struct{})
	f.thawed.CompareAndSwap(nil, &fresh)
}

func (f *freezer) thaw() {
	if frozen := f.thawed.Swap(nil); frozen != nil {
		close(*frozen)
	}
}

// wait returns when the server is not frozen or its life has ended.
func (f *freezer) wait(ctx context.Context) {
	frozen := f.thawed.Load()
	if frozen == nil {
		return
	}
	select {
	case f.blocked <- struct{}{}:
	default:
	}
	select {
	case <-*frozen:
	case <-ctx.Done():
	}
}
