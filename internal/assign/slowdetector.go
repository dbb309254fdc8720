package assign

import (
	"slices"
	"time"
)

// slowLatencyRatio is how often the median latency of its shard a slow server takes.
const slowLatencyRatio = 3

// slowDuration is how long a server must be slow before it is relieved, so that a
// momentary stall moves nothing.
const slowDuration = 2 * time.Second

// SlowDetector flags servers whose latency exceeds 3 times the median of their
// shard for 2 s. It has one user at a time.
type SlowDetector struct {
	slowSince map[string]time.Time
}

// Flag returns the names of the slow servers. latencies holds the moving average
// per server; servers with 0 have no measurement and are never slow.
func (s *SlowDetector) Flag(latencies map[string]time.Duration, now time.Time) map[string]bool {
	limit := slowLatencyRatio * median(latencies)
	since := map[string]time.Time{}
	slow := map[string]bool{}
	for name, latency := range latencies {
		if latency <= limit || latency == 0 {
			continue
		}
		at, known := s.slowSince[name]
		if !known {
			at = now
		}
		since[name] = at
		if now.Sub(at) >= slowDuration {
			slow[name] = true
		}
	}
	s.slowSince = since
	return slow
}

// median returns the middle of the measured latencies, the lower one of two.
func median(latencies map[string]time.Duration) time.Duration {
	measured := make([]time.Duration, 0, len(latencies))
	for _, latency := range latencies {
		if latency > 0 {
			measured = append(measured, latency)
		}
	}
	if len(measured) == 0 {
		return 0
	}
	slices.Sort(measured)
	return measured[(len(measured)-1)/2]
}
