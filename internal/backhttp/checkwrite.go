package backhttp

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var errExpired = errors.New("the process was stopped or starved until the time to send the request had passed; nothing was written")

var errWithheld = errors.New("the server may not get the request any more; nothing was written")

// checkWrite returns an error if the request must not be written any more: errExpired,
// errWithheld, or that of a context that was cancelled. It looks at the clocks: the timer of
// ctx comes late in a process that was stopped or starved, and does not count while the
// machine is suspended.
func (r *Request) checkWrite(ctx context.Context) error {
	deadline, limited := ctx.Deadline()
	switch {
	case limited && !time.Now().Before(deadline) || r.SendBy.Passed():
		return errExpired
	case ctx.Err() != nil:
		return ctx.Err()
	case r.MayWrite != nil && !r.MayWrite():
		return errWithheld
	}
	return nil
}
