package owners

import "math"

// responseTime estimates response times of a server with several slots relative to its service
// time, by Sakasegawa's approximation for an M/M/m queue.
type responseTime struct {
	slots float64
}

// at returns the response time at the utilization.
func (r responseTime) at(utilization float64) float64 {
	u := min(utilization, 0.98) // beyond this, the queue is bounded by refusals
	return 1 + math.Pow(u, math.Sqrt(2*(r.slots+1))-1)/(r.slots*(1-u))
}

// marginal returns how much the total response time of all requests rises with one more request,
// including the time that the others wait for it.
func (r responseTime) marginal(utilization float64) float64 {
	u := min(utilization, 0.98)
	exponent := math.Sqrt(2*(r.slots+1)) - 1
	wait := math.Pow(u, exponent) / (r.slots * (1 - u))
	return 1 + wait*(1+exponent+u/(1-u))
}
