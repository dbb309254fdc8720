package entry

import "time"

// Policy is what the settings tree says about requests of one service and key.
type Policy struct {
	// Timeout applies when the caller sends none.
	Timeout time.Duration
	// IdleTimeout bounds the time without progress of an upload.
	IdleTimeout time.Duration
}
