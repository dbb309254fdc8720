package calls

import "time"

// Attempt is one sending to a backend server that ended without an answer for the caller.
type Attempt struct {
	At      time.Time `json:"at"`
	Server  string    `json:"server"`
	Outcome string    `json:"outcome"`
	Detail  string    `json:"detail"`
}
