package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Client is what an instance does with its link to the holder.
type Client interface {
	// Attach uses the link for the asks of this instance until it ends.
	Attach(l link.Link)
	// NewReceiver returns the inbox of one link, and what takes its messages in order.
	NewReceiver() (*link.FactsReceiver, func(*linkpb.Down))
	// SilentFor returns how long the holder has been silent.
	SilentFor(now time.Time) time.Duration
	// FleetSize returns how many instances followed the last holder.
	FleetSize() int
	// MaxProcessorShare returns the largest processor share among them, or 0 if none was heard.
	MaxProcessorShare() float64
}
