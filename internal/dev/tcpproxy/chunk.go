package tcpproxy

import "time"

// chunk is what was read from a connection at once.
type chunk struct {
	content []byte
	// end is set if the sender has closed or reset the connection after the content.
	end bool
	at  time.Time
}
