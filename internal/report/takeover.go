package report

import "time"

// Takeover is the period from the first sign that the owner of a range was lost to the
// takeover by a standby. The range is unserved for only a part of it: the owner may have
// served it until its grant expired.
type Takeover struct {
	Range         string    `json:"range"`
	PreviousOwner string    `json:"lost"`
	NewOwner      string    `json:"next"`
	From          time.Time `json:"from"`
	Until         time.Time `json:"until"`
}
