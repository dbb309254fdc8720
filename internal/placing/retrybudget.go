package placing

import "time"

// RetryBudget bounds the retries for a service: within Window, Ratio of its requests plus Extra.
type RetryBudget struct {
	Window time.Duration
	Ratio  float64
	Extra  float64
	// AssumeSpent tells that a predecessor may have used Extra within the last window.
	AssumeSpent bool
}
