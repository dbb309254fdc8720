package platform

// FaultSettings is the body of POST /dev/faults. Absent fields change nothing.
type FaultSettings struct {
	Unavailable      *bool `json:"down,omitempty"`
	DelayMS          *int  `json:"slow_ms,omitempty"`
	StaleReads       *bool `json:"stale,omitempty"`
	LoseNextResponse bool  `json:"lose_next_answer,omitempty"`
	ListLagMS        *int  `json:"list_lag_ms,omitempty"`
	// TakeCopy takes a copy of the store, and Restore brings the store back from the last one.
	TakeCopy bool `json:"take_copy,omitempty"`
	Restore  bool `json:"restore,omitempty"`
}
