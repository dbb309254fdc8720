package tcpproxy

import "time"

// Fault is what a proxy does to a share of its connections.
type Fault struct {
	Kind FaultKind
	// Share is the share of the connections that are affected, from 0 to 1.
	Share float64
	// Delay is the delay of a FaultDelay in each direction, and the longest time from
	// which a FaultReset draws when it resets a connection.
	Delay time.Duration
}
