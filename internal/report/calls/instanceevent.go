package calls

import "time"

// InstanceEvent is a change in the state of an instance or of what it depends on.
type InstanceEvent struct {
	At      time.Time `json:"at"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
	Detail  string    `json:"detail,omitempty"`
}
