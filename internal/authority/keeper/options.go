// Package keeper drives the decisions of package authority in one process: it
// serves promises, renews held shards, becomes a candidate, and reads and
// writes shard records.
package keeper

import (
	"math/rand/v2"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Options configures a Keeper.
type Options struct {
	// Self is this process with an incarnation that was never used before.
	Self authority.Member
	// Timing has passed Validate.
	Timing        authority.Timing
	Store         store.Store
	WitnessClient authority.WitnessClient
	Prober        authority.Prober
	Peers         PeerSource
	// Random is used by the keeper's goroutine only.
	Random *rand.Rand
	// Log may be nil.
	Log *events.Logger
}
