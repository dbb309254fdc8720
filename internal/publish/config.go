// Package publish distributes the settings, the shard table and the quarantine among the
// instances by periodic exchange with random peers and by pushing updates, and publishes them
// to readers as immutable snapshots. One goroutine owns the state; one instance per failure
// domain watches the settings in the store.
package publish

import (
	"math/rand/v2"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Config holds the parameters and dependencies of a Publisher. All fields except Bootstrap,
// Observer and Events are required.
type Config struct {
	Self    authority.Instance
	Domain  string
	Address string // host:port of this instance's peer endpoint
	// Bootstrap lists the peer endpoints (host:port) to use while Peers returns none.
	Bootstrap  []string
	Peers      PeerList
	PeerClient PeerClient
	Store      store.Store
	Observer   Observer
	Events     *events.Logger
	// After New has returned, Random is used only by the publisher's goroutines.
	Random *rand.Rand
}
