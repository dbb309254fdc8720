package backhttp

import "time"

// endsWithin waits for the time and reports whether the connection has ended by then.
func (c *conn) endsWithin(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.aborted:
		return true
	case <-timer.C:
		return false
	}
}
