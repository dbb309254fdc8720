// Package servers simulates backend servers for development and tests: many in
// one process, each on its own port, with faults injected on request.
package servers

import "time"

// Config describes one server.
type Config struct {
	Name    string
	Service string
	Domain  string
	// Address is host:port; port 0 picks a free port, which later incarnations use too.
	Address string
	// Keyed servers run a request only while they hold a grant for its key.
	Keyed bool
	// ChecksTokens makes the server refuse orders with a token below the highest it has seen.
	ChecksTokens bool
	// Slots is how many requests run at once; further ones are refused.
	Slots int
	// MaxConnections is how many connections are open at once; further ones are reset.
	MaxConnections int
	ServiceTimes   ServiceTimes
	ColdStart      ColdStartConfig
	// ReportDelay is the age of the health and load that the server reports.
	ReportDelay time.Duration
	// ClockDrift is the relative error of the server's clock, such as 0.005.
	ClockDrift float64
	// RestartAfter is the time from a crash caused by a request to the next incarnation; 0 leaves the server stopped.
	RestartAfter time.Duration
	// StartWarm makes the first incarnation start warm.
	StartWarm bool
	// Seed seeds the service times; equal seeds give equal sequences.
	Seed uint64
}

// withDefaults fills the unset fields with the values of the deployments in the design page.
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
