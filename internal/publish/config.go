// Package publish brings settings, the shard table and the quarantine from
// instance to instance and publishes them as immutable snapshots. One goroutine
// owns the state; one instance per failure domain watches the store.
package publish

import (
	"context"
	"math/rand/v2"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Config is what a Publisher needs. All fields except Bootstrap, Observer and
// Events are required.
type Config struct {
	Self    authority.Instance
	Domain  string
	Address string // host:port of this instance's peer endpoint
	// Bootstrap lists peer endpoints to ask while Peers lists none, as host:port.
	Bootstrap []string
	Peers     PeerList
	Caller    Caller
	Store     store.Store
	Observer  Observer
	Events    *events.Logger
	// Random is used by the publisher's goroutines only after New returned.
	Random *rand.Rand
}

// PeerList is the view of the other instances.
type PeerList interface {
	// Peers returns the instances to exchange with, without this one. It must not
	// block, and the caller does not change the slice.
	Peers() []exchange.Peer
}

// Caller carries exchanges to peers.
type Caller interface {
	// Exchange sends the request to the peer endpoint at address. It returns the
	// context's error when the deadline passes first.
	Exchange(ctx context.Context, address string, r exchange.Request) (exchange.Reply, error)
}

// Observer hears of the peers that were in contact, as direct evidence for the
// membership. Its methods are called by one goroutine and must not block.
type Observer interface {
	// Heard reports a message from an instance.
	Heard(from authority.Instance, domain, address string, leaving bool)
	// Unreachable reports a call that got no answer.
	Unreachable(address string)
}
