package backend

import "time"

// Body is what a server has read of the body of a request after it had answered it with success.
type Body struct {
	RequestID string
	Server    string
	// Bytes is how many bytes arrived, and Whole is set if that is the body of the request.
	Bytes   int
	Whole   bool
	EndedAt time.Time
}
