package report

import "time"

// MissingOwner is a range of which neither owner nor standby answered.
type MissingOwner struct {
	Range string    `json:"range"`
	At    time.Time `json:"at"`
}
