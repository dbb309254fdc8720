package calls

import "time"

// News is a line that changed what an instance believed or depended on.
type News struct {
	At      time.Time `json:"at"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
	Detail  string    `json:"detail,omitempty"`
}
