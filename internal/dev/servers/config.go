// Package servers is the development stand-in for backend servers: many in one
// process, each on its own port, with the faults of real ones.
package servers

import "time"

// Config describes one server.
type Config struct {
	Name    string
	Service string
	Domain  string
	// Address is host:port; port 0 picks a free one, which restarts keep.
	Address string
	// Keyed servers run a request only for keys that they have been granted.
	Keyed bool
	// ChecksTokens makes the server refuse orders below the highest token it has seen.
	ChecksTokens bool
	// Slots is how many requests run at once; further ones are shed.
	Slots int
	// MaxConnections is how many connections are open at once; further ones are reset.
	MaxConnections int
	ServiceTimes   ServiceTimes
	ColdStart      ColdStartConfig
	// ReportDelay is how old the health and load reports are.
	ReportDelay time.Duration
	// ClockDrift is the relative error of the server's clock, such as 0.005.
	ClockDrift float64
	// RestartAfter starts a new incarnation after a crash that a request caused; 0 leaves the server down.
	RestartAfter time.Duration
	// StartWarm starts the first incarnation warm.
	StartWarm bool
	// Seed decides service times; equal seeds give equal sequences.
	Seed uint64
}

// withDefaults fills the fields that every deployment of the design page shares.
func (c Config) withDefaults() Config {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.Slots == 0 {
		c.Slots = 3
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = 130
	}
	return c
}
