package platform

// Control is the body of POST /dev/faults. Absent fields stay as they are.
type Control struct {
	Down           *bool `json:"down,omitempty"`
	SlowMS         *int  `json:"slow_ms,omitempty"`
	Stale          *bool `json:"stale,omitempty"`
	LoseNextAnswer bool  `json:"lose_next_answer,omitempty"`
	ListLagMS      *int  `json:"list_lag_ms,omitempty"`
}
