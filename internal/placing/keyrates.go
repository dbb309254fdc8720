package placing

import (
	"math"
	"time"
)

// KeyRates counts the requests of each key of a service, with exponential decay.
type KeyRates struct {
	// rates holds the decayed counts, as of at.
	rates [NumKeys]float32
	at   time.Time
}

// Add counts one request for key.
func (h *KeyRates) Add(key int) {
	h.rates[key]++
}

// Decay brings the counts to now. Divide a count by HeatSeconds for requests/s.
func (h *KeyRates) Decay(now time.Time) {
	if !h.at.IsZero() {
		factor := float32(math.Exp(-now.Sub(h.at).Seconds() / keyRateTimeConstant.Seconds()))
		for i, r := range h.rates {
			if r != 0 {
				if r *= factor; r < 0.001 {
					r = 0
				}
				h.rates[i] = r
			}
		}
	}
	h.at = now
}

// Rate returns the rate of a key in requests/s.
func (h *KeyRates) Rate(key int) float64 {
	return float64(h.rates[key]) / keyRateTimeConstant.Seconds()
}

// Sum returns the rate of the keys from first to last in requests/s.
func (h *KeyRates) Sum(first, last int) float64 {
	sum := 0.0
	for key := first; key <= last; key++ {
		sum += h.Rate(key)
	}
	return sum
}
