package placing

import "time"

// waiting is a request without a server yet.
type waiting struct {
	Ask
	arrived time.Time
}
