package explain

// Team is the team of a request.
type Team struct {
	Name string `json:"name"`
	// Capped is set if the team has a usage cap.
	Capped   bool    `json:"capped"`
	RatePerS float64 `json:"rate_per_s,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
	// LocalTokens is how many requests the instance could place by itself now, and
	// LocalChance the probability that it admits the next one.
	LocalTokens float64 `json:"local_tokens,omitempty"`
	LocalChance float64 `json:"local_chance,omitempty"`
}
