package backhttp

import "time"

// writeResult is how and when the write of a request has ended.
type writeResult struct {
	// bytes is how many bytes the kernel has taken.
	bytes int64
	err   error
	at    time.Time
}
