package placing

import "time"

// crashCount counts the suspected crashes caused by one request content.
type crashCount struct {
	count int
	last  time.Time
}
