package gateway

import "sync/atomic"

// teamRefusals counts the refusals of one team that have not been logged.
type teamRefusals struct {
	count    atomic.Int64
	loggedAt atomic.Int64 // in Unix nanoseconds
}
