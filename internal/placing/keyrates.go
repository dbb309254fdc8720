package placing

import (
	"math"
	"time"
)

// KeyRates tracks the request rate of each key of a service with exponential decay.
type KeyRates struct {
	// rates and steady hold the decayed request counts as of at, of a short and of a long time.
	rates, steady [NumKeys]float32
	// since is when the counts began, and at when they were last decayed.
	since, at time.Time
	// steadySeconds is the time that the counts of steady stand for, which is shorter at first.
	steadySeconds float64
}

// Add counts one request for the key.
func (k *KeyRates) Add(key int) {
	k.rates[key]++
	k.steady[key]++
}

// Decay applies the decay up to now.
func (k *KeyRates) Decay(now time.Time) {
	if k.at.IsZero() {
		k.since = now
	} else {
		factor := float32(math.Exp(-now.Sub(k.at).Seconds() / keyRateTimeConstant.Seconds()))
		steadyFactor := float32(math.Exp(-now.Sub(k.at).Seconds() / steadyRateTimeConstant.Seconds()))
		for i, steady := range k.steady {
			if steady == 0 {
				continue // no request in the short time either
			}
			rate := k.rates[i] * factor
			if rate < minKeyCount {
				rate = 0
			}
			k.rates[i] = rate
			if steady > cooledCount && rate*cooledRatio < steady {
				steady *= factor
			} else {
				steady *= steadyFactor
			}
			if steady < minKeyCount {
				steady = 0
			}
			k.steady[i] = steady
		}
	}
	k.at = now
	constant := steadyRateTimeConstant.Seconds()
	k.steadySeconds = max(minSteadySeconds, constant*(1-math.Exp(-now.Sub(k.since).Seconds()/constant)))
}

// Rate returns the request rate of a key in requests/s.
func (k *KeyRates) Rate(key int) float64 {
	return float64(k.rates[key]) / keyRateTimeConstant.Seconds()
}

// SteadyRate returns the request rate of a key over a longer time, apart from a burst that has
// ended.
func (k *KeyRates) SteadyRate(key int) float64 {
	return float64(k.steady[key]) / k.steadySeconds
}

// SteadySeconds returns the time constant of the average that SteadyRate is, in seconds.
func (k *KeyRates) SteadySeconds() float64 {
	return k.steadySeconds
}

// Sum returns the total request rate of the keys from first to last in requests/s.
func (k *KeyRates) Sum(first, last int) float64 {
	sum := 0.0
	for key := first; key <= last; key++ {
		sum += k.Rate(key)
	}
	return sum
}
