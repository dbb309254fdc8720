package calls

import "time"

// InstanceEvent is a line that changed what an instance believed or depended on.
type InstanceEvent struct {
	At      time.Time `json:"at"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
	Detail  string    `json:"detail,omitempty"`
}
