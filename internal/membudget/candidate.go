package membudget

import "time"

// candidate is what the choice of a connection to end depends on.
type candidate struct {
	bytes int64
	// idle is the time since the last progress.
	idle time.Duration
}

// minIdle is the time without progress from which a connection may be ended. A server that
// computes a response, and a caller with a round trip of a second, take less.
const minIdle = 2 * time.Second

// minEndBytes is what ending a connection must free at least: less would end many
// connections for little.
const minEndBytes = 16 << 10

// cost is the memory that the connection holds times the time for which it has made no
// progress, or 0 if it must not be ended.
func (c candidate) cost() float64 {
	if c.bytes < minEndBytes || c.idle < minIdle {
		return 0
	}
	return float64(c.bytes) * c.idle.Seconds()
}
