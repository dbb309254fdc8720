package report

import "time"

// Orphan is a range of which neither owner nor standby answered.
type Orphan struct {
	Range string    `json:"range"`
	At    time.Time `json:"at"`
}
