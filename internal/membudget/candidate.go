package membudget

import "time"

// candidate is what the choice of a connection to end depends on.
type candidate struct {
	bytes int64
	// idle is the time since the last progress.
	idle time.Duration
}

// minIdle is the time without progress from which a connection may be ended. The progress of a
// caller that reads 1 KB/s in steps of 4 KB shows every 4 s, and is looked at every 2.5 s.
const minIdle = 7 * time.Second

// minEndBytes is what ending a connection must free at least. Usual requests hold less; ending
// many of them would free little.
const minEndBytes = 64 << 10

// cost is the memory that the connection holds times the time for which it has made no
// progress, or 0 if it must not be ended.
func (c candidate) cost() float64 {
	if c.bytes < minEndBytes || c.idle < minIdle {
		return 0
	}
	return float64(c.bytes) * c.idle.Seconds()
}
