// Package runner runs the protocol of package authority in one process: it
// answers promise requests, renews held shards, campaigns for shards, and reads
// and writes shard records.
package runner

import (
	"math/rand/v2"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Options configures a Runner.
type Options struct {
	// Self is this process, with an incarnation that was never used before.
	Self authority.Member
	// Timing must have passed Validate.
	Timing        authority.Timing
	Store         store.Store
	WitnessClient authority.WitnessClient
	Prober        authority.Prober
	Peers         PeerSource
	// Random is used only by the goroutine in Runner.Run.
	Random *rand.Rand
	// Log may be nil.
	Log *events.Logger
}
