package runner

import "peridotmoor.org/peridotmoor/internal/authority"

// PeerSource publishes the instances that may be witnesses.
type PeerSource interface {
	// Peers returns the latest list, which is immutable.
	Peers() []authority.Peer
	// Changed receives a value after the list has changed.
	Changed() <-chan struct{}
}
