package assign

import "time"

// Settings holds the limits and thresholds of the planner.
type Settings struct {
	// RangesPerServer is the number of ranges that the first plan creates for
	// each server.
	RangesPerServer int
	// MaxMovesPerSecond limits moves, except off servers that are lost, out of
	// service, leaving or removed.
	MaxMovesPerSecond int
	// OverloadRatio is the ratio of a server's load to the mean load above which
	// it is overloaded. A server is underloaded below 2 minus this ratio.
	OverloadRatio float64
	// OverloadDuration is how long a server must be overloaded or underloaded
	// before ranges are moved.
	OverloadDuration time.Duration
	// HotKeyShare is the share of a server's mean load from which a key gets its
	// own range.
	HotKeyShare float64
	// HotKeyMinRate is the request rate, in requests per second, below which no key is hot.
	HotKeyMinRate float64
	// HotKeyCooldown is how long the rate of a key must stay below half of the
	// threshold before its range is merged.
	HotKeyCooldown time.Duration
}

// DefaultSettings returns the defaults given in section 3.4 of the design page.
func DefaultSettings() Settings {
	return Settings{
		RangesPerServer:   8,
		MaxMovesPerSecond: 2,
		OverloadRatio:     1.2,
		OverloadDuration:  10 * time.Second,
		HotKeyShare:       0.2,
		HotKeyMinRate:     10, // below this rate, a separate range saves less than its grant costs
		HotKeyCooldown:    120 * time.Second,
	}
}
