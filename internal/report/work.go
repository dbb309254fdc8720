package report

import "time"

// Work is one dispatch to a server.
type Work struct {
	At        time.Time `json:"at"`
	RequestID string    `json:"request_id"`
}
