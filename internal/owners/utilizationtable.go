package owners

import "sort"

// utilizationPoints is the resolution of a utilizationTable.
const utilizationPoints = 64

// utilizationTable holds the marginal response time of servers with the same number of slots at
// evenly spaced utilizations up to maxBalancedUtilization, to look up the utilization.
type utilizationTable [utilizationPoints + 1]float64

func newUtilizationTable(slots int) *utilizationTable {
	model := responseTime{slots: float64(slots)}
	table := &utilizationTable{}
	for i := range table {
		table[i] = model.marginal(maxBalancedUtilization * float64(i) / utilizationPoints)
	}
	return table
}

// utilization returns the highest utilization with at most the marginal response time.
func (u *utilizationTable) utilization(marginal float64) float64 {
	i := sort.SearchFloat64s(u[:], marginal)
	if i == 0 || i == len(u) {
		return maxBalancedUtilization * float64(min(i, utilizationPoints)) / utilizationPoints
	}
	part := (marginal - u[i-1]) / (u[i] - u[i-1])
	return maxBalancedUtilization * (float64(i-1) + part) / utilizationPoints
}
