package placing

import "time"

// crash is what is remembered of one request's content.
type crash struct {
	count int
	last  time.Time
}
