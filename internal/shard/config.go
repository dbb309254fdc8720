package shard

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
)

// Config holds the settings of one shard. It is immutable; a change replaces it.
type Config struct {
	// Keyed reports whether the service is partitioned by key.
	Keyed   bool
	Servers []ServerConfig
	// RenewInterval is the time between two grants to the same server.
	RenewInterval time.Duration
	// MaxDeliveryTime is the longest time that a message may take to reach a server
	// that does not check tokens.
	MaxDeliveryTime time.Duration
	Planner         assign.Settings
}

// DefaultConfig returns the default values of the design page, without servers.
func DefaultConfig() Config {
	return Config{
		RenewInterval:   150 * time.Millisecond,
		MaxDeliveryTime: 200 * time.Millisecond,
		Planner:         assign.DefaultSettings(),
	}
}
