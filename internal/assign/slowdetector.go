package assign

import (
	"slices"
	"time"
)

// slowLatencyRatio is the multiple of the shard's median latency above which a
// server is slow.
const slowLatencyRatio = 3

// slowDuration is how long a server must be slow before it is reported, so that
// a momentary stall causes no moves.
const slowDuration = 2 * time.Second

// SlowDetector reports servers whose latency exceeds 3 times the median of their
// shard for 2 s. It is not safe for concurrent use.
type SlowDetector struct {
	slowSince map[string]time.Time
}

// Flag returns the names of the slow servers. latencies holds the moving average
// of each server's latency; 0 means that there is no measurement, and such a
// server is never slow.
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

// median returns the median of the measured latencies, the lower of the two
// middle values when their number is even.
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
