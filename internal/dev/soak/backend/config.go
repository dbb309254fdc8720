package backend

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
)

// Config describes one backend server of the platform.
type Config struct {
	Service string
	Domain  string
	// Keyed servers run a request only while they hold a grant for its key.
	Keyed bool
	// Slots is how many requests run at once; as many more wait.
	Slots int
	// ClockRate is the speed of the server's clock. A slow clock makes grants last longer.
	ClockRate float64
	// Heartbeat is the interval of the server's status reports.
	Heartbeat time.Duration
	Seed      uint64
	// AnswersEarly makes the server answer requests with a body before it has read that. No
	// proxy stands in front of it, as that would read at once.
	AnswersEarly bool
	// Sources tells where connections come from, or is nil.
	Sources tcpproxy.Sources
}
