package explain

// Refusal is the reply to a request that is refused.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfterMS is the delay that the reply suggests at most, or 0 for none.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}
