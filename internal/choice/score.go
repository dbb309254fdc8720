// Package choice selects a backend server for requests that any server of the shard may
// run, and estimates the delay after which they are hedged. It does no I/O and reads no
// clock.
package choice

import "time"

// Score holds the load and latency of a server that the selection is based on.
type Score struct {
	// Outstanding is the number of requests that run or wait at the server.
	Outstanding int
	// Latency is the short-term average latency of the server, or 0 before its first
	// response.
	Latency time.Duration
	// Wait is the expected time until a slot is free.
	Wait time.Duration
	// Load is the load that the server reports. It lags behind and only breaks ties.
	Load float64
}

// cost estimates the time until the server would have finished one more request.
func (s Score) cost(latency time.Duration) time.Duration {
	return time.Duration(s.Outstanding+1)*latency + s.Wait
}

// Better reports whether a is preferable to b. A server without an average latency is
// assumed to be as fast as the other one.
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
