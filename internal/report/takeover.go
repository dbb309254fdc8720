package report

import "time"

// Takeover is the time from the first sign that the owner of a range was lost to
// the takeover by a standby. The range is unserved for a part of it: until its
// grant has expired the owner may have served it.
type Takeover struct {
	Range         string    `json:"range"`
	PreviousOwner string    `json:"lost"`
	NewOwner      string    `json:"next"`
	From          time.Time `json:"from"`
	Until         time.Time `json:"until"`
}
