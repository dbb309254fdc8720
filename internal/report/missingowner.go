package report

import "time"

// MissingOwner is a range for which neither the owner nor a standby responded.
type MissingOwner struct {
	Range string    `json:"range"`
	At    time.Time `json:"at"`
}
