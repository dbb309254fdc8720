package httpbackend

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// GrantResponse is the JSON body of the response to a grant.
type GrantResponse struct {
	ClockNS     int64  `json:"clock_ns"`
	Incarnation string `json:"incarnation"`
	Highest     string `json:"highest"`
	Running     int    `json:"running"`
	Leaving     bool   `json:"leaving"`
}

// Decode parses the response.
func (r GrantResponse) Decode() (backend.GrantResponse, error) {
	highest, err := ParseToken(r.Highest)
	return backend.GrantResponse{
		Clock:       time.Duration(r.ClockNS),
		Incarnation: r.Incarnation,
		Highest:     highest,
		Running:     r.Running,
		Leaving:     r.Leaving,
	}, err
}
