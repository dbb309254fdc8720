package placing

import (
	"math"
	"time"
)

// Heat counts the requests of each key of a service, with exponential decay.
type Heat struct {
	// rate holds the decayed counts, as of at.
	rate [Keys]float32
	at   time.Time
}

// Add counts one request for key.
func (h *Heat) Add(key int) {
	h.rate[key]++
}

// Decay brings the counts to now. Divide a count by HeatSeconds for requests/s.
func (h *Heat) Decay(now time.Time) {
	if !h.at.IsZero() {
		factor := float32(math.Exp(-now.Sub(h.at).Seconds() / loadTimeConstant.Seconds()))
		for i, r := range h.rate {
			if r != 0 {
				if r *= factor; r < 0.001 {
					r = 0
				}
				h.rate[i] = r
			}
		}
	}
	h.at = now
}

// Rate returns the rate of a key in requests/s.
func (h *Heat) Rate(key int) float64 {
	return float64(h.rate[key]) / loadTimeConstant.Seconds()
}

// Sum returns the rate of the keys from first to last in requests/s.
func (h *Heat) Sum(first, last int) float64 {
	sum := 0.0
	for key := first; key <= last; key++ {
		sum += h.Rate(key)
	}
	return sum
}
