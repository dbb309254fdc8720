package placing

import "time"

// Budget bounds the retries for a service: within Window, Ratio of its requests plus Extra.
type Budget struct {
	Window time.Duration
	Ratio  float64
	Extra  float64
	// Spent tells that a predecessor may have used Extra within the last window.
	Spent bool
}
