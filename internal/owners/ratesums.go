package owners

import (
	"math"
	"time"
)

// rateSums holds the sums of the rates of all keys below each key, of this plan and of the one
// before, from which the requests between the two follow.
type rateSums struct {
	current, previous *[NumKeys + 1]float64
	at, previousAt    time.Time
}

func newRateSums() *rateSums {
	return &rateSums{current: &[NumKeys + 1]float64{}, previous: &[NumKeys + 1]float64{}}
}

// update takes the rates of a new plan.
func (s *rateSums) update(now time.Time, rates KeyRates) {
	s.current, s.previous, s.previousAt = s.previous, s.current, s.at
	current, sum := s.current, 0.0
	for key := range NumKeys {
		sum += rates.Rate(key)
		current[key+1] = sum
	}
	s.at = now
}

// rateOf returns the rate of the keys.
func (s *rateSums) rateOf(i Interval) float64 {
	return s.current[i.To+1] - s.current[i.From]
}

// expectedRateOf returns the rate that the keys are about to have: that of the requests since
// the plan before if it is clearly higher, as an average follows a burst slowly.
func (s *rateSums) expectedRateOf(i Interval) float64 {
	rate := s.rateOf(i)
	elapsed := s.at.Sub(s.previousAt).Seconds()
	if s.previousAt.IsZero() || elapsed <= 0 || elapsed > rateTimeConstant.Seconds() {
		return rate
	}
	remaining := math.Exp(-elapsed / rateTimeConstant.Seconds())
	recent := (rate - remaining*(s.previous[i.To+1]-s.previous[i.From])) / (1 - remaining)
	if recent-2*math.Sqrt(max(0, recent)/elapsed) < rate {
		return rate
	}
	return recent
}
