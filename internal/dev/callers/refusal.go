package callers

// refusal is the body of a refusal.
type refusal struct {
	Kind         string `json:"kind"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}
