package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// PeerList is the view of the other instances.
type PeerList interface {
	// Peers returns the instances to exchange with, without this one. It must not
	// block, and the caller does not change the slice.
	Peers() []exchange.Peer
}
