package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// PeerList provides the other instances as the membership knows them.
type PeerList interface {
	// Peers returns the instances to exchange with, without this one. It must not block, and
	// the publisher does not modify the slice.
	Peers() []exchange.Peer
}
