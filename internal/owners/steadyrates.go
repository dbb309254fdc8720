package owners

import (
	"math"
	"sort"
)

// sumSteadyRates prepares steadyRateOf. It uses the given memory.
func (l *serviceLoads) sumSteadyRates(sums *[NumKeys + 1]float64) {
	l.steadySums = sums
	sum := 0.0
	for key := range NumKeys {
		sum += l.rates.SteadyRate(key)
		l.steadySums[key+1] = sum
	}
}

// steadyNoise returns how far a steady rate may differ by chance: two standard deviations.
func (l *serviceLoads) steadyNoise(rate float64) float64 {
	return rateNoise * math.Sqrt(rate/max(1, l.rates.SteadySeconds()))
}

// steadyRateOf returns the steady rate of the keys.
func (l *serviceLoads) steadyRateOf(i Interval) float64 {
	return l.steadySums[i.To+1] - l.steadySums[i.From]
}

// steadyEnds returns the longest parts at both ends of i with at most the wanted steady rate,
// and at least one key.
func (l *serviceLoads) steadyEnds(i Interval, want float64) (low, high Interval) {
	n := sort.Search(i.Size(), func(n int) bool { return l.steadySums[i.From+n+1]-l.steadySums[i.From] > want })
	low = Interval{From: i.From, To: i.From + max(1, n) - 1}
	n = sort.Search(i.Size(), func(n int) bool { return l.steadySums[i.To+1]-l.steadySums[i.To-n] > want })
	high = Interval{From: i.To - max(1, n) + 1, To: i.To}
	return low, high
}
