package placing

import "time"

// loss is an attempt that ended with its server's connection.
type loss struct {
	mark uint64
	at   time.Time
}
