package keyowners

import "time"

// Event is one line of an instance that matters for the key.
type Event struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Epoch    int64     `json:"epoch"`
	Name     string    `json:"name"`
	Detail   string    `json:"detail,omitempty"`
}
