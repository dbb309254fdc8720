package backhttp

import "time"

// writeResult is how and when the write of a request has ended.
type writeResult struct {
	err error
	at  time.Time
}
