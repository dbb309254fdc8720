package usagecap

import "time"

// takenToken is a token of an attempt that has been assigned to a server.
type takenToken struct {
	account *account
	// until is when the end of the attempt is no longer waited for.
	until time.Time
}
