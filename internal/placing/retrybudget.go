package placing

import "time"

// RetryBudget limits the retries of a service within any Window to Ratio times its
// requests plus Extra.
type RetryBudget struct {
	Window time.Duration
	Ratio  float64
	Extra  float64
	// HedgeShare limits the hedges of a service to this share of its requests. Retries and hedges
	// together are within Ratio and Extra.
	HedgeShare float64
	// AssumeSpent is set when an earlier holder may have used Extra within the last window.
	AssumeSpent bool
}
