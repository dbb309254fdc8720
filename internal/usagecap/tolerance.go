package usagecap

import "peridotmoor.org/peridotmoor/internal/fleet"

// burst returns the capacity of the bucket of a cap. A burst below 1 counts as 1.
func burst(limit fleet.Cap) float64 {
	return max(1, limit.Burst)
}

// localBurst returns the capacity of the buckets of all instances together that do without the
// holder.
func localBurst(limit fleet.Cap) float64 {
	return burst(limit) + spareRatio*tolerance(limit)
}

// tolerance returns how many requests beyond the cap may run in a window.
func tolerance(limit fleet.Cap) float64 {
	return toleranceRatio*(limit.Rate*window.Seconds()+burst(limit)) + toleranceRequests
}
