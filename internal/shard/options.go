package shard

import (
	"math/rand/v2"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/route"
)

// Options are the dependencies of a runtime. All are required but Log and
// OnHigherToken.
type Options struct {
	Shard key.ShardID
	// Interval is the part of the hash space that the shard covers.
	Interval        key.Range
	Tenures         TenureSource
	AssignmentStore AssignmentStore
	Config          *ConfigSource
	// NewTarget connects to a server. The runtime calls it from its own goroutine, and
	// calls Close on the target's Server when it no longer uses it.
	NewTarget func(ServerConfig) *route.Target
	// LimiterFor returns the admission control of the target.
	LimiterFor func(*route.Target) Limiter
	Random     *rand.Rand
	Log        *events.Logger
	// OnHigherToken is called when a server follows a holder with a higher token.
	OnHigherToken func(highest authority.Token)
}
