package backhttp

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var errExpired = errors.New("the process was stopped or starved until the time to send the request had passed; nothing was written")

// expired reports whether the request must not be written any more. It looks at the clocks:
// the timer of ctx comes late in a process that was stopped or starved, and does not count
// while the machine is suspended.
func (r *Request) expired(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return limited && !time.Now().Before(deadline) || r.SendBy.Passed()
}
