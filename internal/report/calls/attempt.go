package calls

import "time"

// Attempt is one attempt at a backend server that ended without a response for the caller.
type Attempt struct {
	At      time.Time `json:"at"`
	Server  string    `json:"server"`
	Outcome string    `json:"outcome"`
	Detail  string    `json:"detail"`
}
