package authority

import (
	"context"

	"github.com/pkg/errors"
)

// ErrConnectionRefused means that no process listens at the address. A paused process
// still has its listening socket, so a refusal proves that the process is gone.
var ErrConnectionRefused = errors.New("authority: connection refused; no process listens at this address")

// Prober asks which incarnation answers at an address.
type Prober interface {
	// Probe returns the instance that answers at address. It returns ErrRefused
	// when the connection is refused; every other error proves nothing.
	Probe(ctx context.Context, address string) (Instance, error)
}
