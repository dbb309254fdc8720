package report

import "time"

// DispatchRef identifies one dispatch to a server.
type DispatchRef struct {
	At        time.Time `json:"at"`
	RequestID string    `json:"request_id"`
}
