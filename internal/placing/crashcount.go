package placing

import "time"

// crashCount is what is remembered of one request's content.
type crashCount struct {
	count int
	last  time.Time
}
