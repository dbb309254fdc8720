package authority

import (
	"context"

	"github.com/pkg/errors"
)

// ErrConnectionRefused means that no process listens at the address. A paused
// process keeps its listening socket, so a refused connection proves that the
// process has terminated.
var ErrConnectionRefused = errors.New("authority: connection refused; no process listens at this address")

// Prober finds out which incarnation answers at an address.
type Prober interface {
	// Probe returns the instance that answers at address. It returns
	// ErrConnectionRefused if the connection is refused; any other error proves
	// nothing about the process.
	Probe(ctx context.Context, address string) (Instance, error)
}
