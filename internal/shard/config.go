package shard

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
)

// Config holds the settings of one shard. It is immutable and replaced whole.
type Config struct {
	// Keyed reports whether the service is partitioned by key.
	Keyed   bool
	Servers []ServerConfig
	// RenewInterval is the time between two grants to one server.
	RenewInterval time.Duration
	// MaxDeliveryTime is the longest time that a message takes to a server that does
	// not check tokens.
	MaxDeliveryTime time.Duration
	Planner         assign.Settings
}

// DefaultConfig returns the values of the design page with no servers.
func DefaultConfig() Config {
	return Config{
		RenewInterval:   150 * time.Millisecond,
		MaxDeliveryTime: 200 * time.Millisecond,
		Planner:         assign.DefaultSettings(),
	}
}
