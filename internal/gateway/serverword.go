package gateway

import "time"

// serverWord is what a server has said of itself in response to a health check.
type serverWord struct {
	// askedAt is when the check was sent.
	askedAt time.Time
	// serving is set if the server takes new work.
	serving bool
}
