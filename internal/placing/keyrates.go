package placing

import (
	"math"
	"time"
)

// KeyRates tracks the request rate of each key of a service with exponential decay.
type KeyRates struct {
	// rates holds the decayed request counts as of at.
	rates [NumKeys]float32
	at    time.Time
}

// Add counts one request for the key.
func (k *KeyRates) Add(key int) {
	k.rates[key]++
}

// Decay applies the decay up to now.
func (k *KeyRates) Decay(now time.Time) {
	if !k.at.IsZero() {
		factor := float32(math.Exp(-now.Sub(k.at).Seconds() / keyRateTimeConstant.Seconds()))
		for i, r := range k.rates {
			if r != 0 {
				if r *= factor; r < 0.001 {
					r = 0
				}
				k.rates[i] = r
			}
		}
	}
	k.at = now
}

// Rate returns the request rate of a key in requests/s.
func (k *KeyRates) Rate(key int) float64 {
	return float64(k.rates[key]) / keyRateTimeConstant.Seconds()
}

// Sum returns the total request rate of the keys from first to last in requests/s.
func (k *KeyRates) Sum(first, last int) float64 {
	sum := 0.0
	for key := first; key <= last; key++ {
		sum += k.Rate(key)
	}
	return sum
}
