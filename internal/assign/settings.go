package assign

import "time"

// Settings bounds what the planner changes.
type Settings struct {
	// RangesPerServer is the number of ranges that the first plan cuts for each server.
	RangesPerServer int
	// MaxMovesPerSecond bounds moves, except off servers that are lost, out or leaving.
	MaxMovesPerSecond int
	// OverloadRatio is the load over the mean from which a server is relieved.
	OverloadRatio float64
	// OverloadDuration is how long a server must be overloaded before it is relieved.
	OverloadDuration time.Duration
	// HotKeyShare is the share of a server's mean load from which a key gets its own range.
	HotKeyShare float64
	// HotKeyMinRate is the request rate, in requests per second, below which no key is hot.
	HotKeyMinRate float64
	// HotKeyCooldown is how long a key must stay below half of the threshold to lose its range.
	HotKeyCooldown time.Duration
}

// DefaultSettings returns the values of the design page, section 3.4.
func DefaultSettings() Settings {
	return Settings{
		RangesPerServer:   8,
		MaxMovesPerSecond: 2,
		OverloadRatio:     1.2,
		OverloadDuration:  10 * time.Second,
		HotKeyShare:       0.2,
		HotKeyMinRate:     10, // below it, a range of its own saves less than its grant costs
		HotKeyCooldown:    120 * time.Second,
	}
}
