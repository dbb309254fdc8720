package callers

// refusal is the JSON body of a response that refuses a request.
type refusal struct {
	Kind         string `json:"kind"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}
