package authority

import (
	"context"

	"github.com/pkg/errors"
)

// ErrConnectionRefused means that the connection was refused. It does not prove that the
// process has terminated: a network partition may reset connections.
var ErrConnectionRefused = errors.New("authority: connection refused; if the process has ended for good, list its instance under [instances] retired")

// Prober finds out which incarnation answers at an address.
type Prober interface {
	// Probe returns the instance that answers at address. An error proves nothing about
	// the process.
	Probe(ctx context.Context, address string) (Instance, error)
}
