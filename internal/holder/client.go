package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Client uses an instance's link to the holder to have the attempts of that
// instance scheduled, and keeps the status that the holder sent last.
type Client interface {
	// Attach makes the client use the link until the link ends.
	Attach(l link.Link)
	// NewReceiver returns the receiver for the facts of one new link, and the function
	// that handles the messages of that link in order.
	NewReceiver() (*link.FactsReceiver, func(*linkpb.Down))
	// SilentFor returns the time since the last message from the holder.
	SilentFor(now time.Time) time.Duration
	// FleetSize returns the number of instances that followed the last holder.
	FleetSize() int
	// MaxProcessorShare returns the largest processor share among those instances, or 0
	// if it is unknown.
	MaxProcessorShare() float64
}
