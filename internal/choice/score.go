// Package choice picks the server of a request that any server of the shard may
// run, and the time after which it is hedged. It is pure.
package choice

import "time"

// Score is what the choice knows about one server.
type Score struct {
	// Outstanding counts the requests that run or wait at the server.
	Outstanding int
	// Latency is the server's short-term average, or 0 before its first answer.
	Latency time.Duration
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// Load is the server's own report, which lags and only breaks ties.
	Load float64
}

// cost estimates when the server would have done one more request.
func (s Score) cost(latency time.Duration) time.Duration {
	return time.Duration(s.Outstanding+1)*latency + s.Wait
}

// Better reports whether a is to be preferred to b. A server without an average
// is assumed to be as fast as the other one.
func Better(a, b Score) bool {
	costA := a.cost(latencyOr(a, b))
	costB := b.cost(latencyOr(b, a))
	if costA != costB {
		return costA < costB
	}
	if a.Outstanding != b.Outstanding {
		return a.Outstanding < b.Outstanding
	}
	return a.Load < b.Load
}

func latencyOr(s, other Score) time.Duration {
	if s.Latency > 0 {
		return s.Latency
	}
	return other.Latency
}
