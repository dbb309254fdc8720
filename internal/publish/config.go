// Package publish brings settings, the shard table and the quarantine from
// instance to instance and publishes them as immutable snapshots. One goroutine
// owns the state; one instance per failure domain watches the store.
package publish

import (
	"math/rand/v2"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Config is what a Publisher needs. All fields except Bootstrap, Observer and
// Events are required.
type Config struct {
	Self    authority.Instance
	Domain  string
	Address string // host:port of this instance's peer endpoint
	// Bootstrap lists peer endpoints to ask while Peers lists none, as host:port.
	Bootstrap  []string
	Peers      PeerList
	PeerClient PeerClient
	Store      store.Store
	Observer   Observer
	Events     *events.Logger
	// Random is used by the publisher's goroutines only after New returned.
	Random *rand.Rand
}
