package owners

// firstUtilization is the utilization that is assumed of all servers together as long as there
// is no load to measure.
const firstUtilization = 0.4

// firstWeights returns the shares of the keys that servers get in the first plan.
func firstWeights(servers []*serverLoad) []float64 {
	weights := make([]float64, len(servers))
	known := false
	balanced := make([]*balancedServer, len(servers))
	tables := map[int]*utilizationTable{}
	for i, l := range servers {
		weights[i] = float64(l.Slots)
		known = known || l.ServiceTime != servers[0].ServiceTime
		if tables[l.Slots] == nil {
			tables[l.Slots] = newUtilizationTable(l.Slots)
		}
		balanced[i] = &balancedServer{serverLoad: l, steady: firstUtilization * l.capacity(), table: tables[l.Slots]}
	}
	if !known {
		return weights
	}
	setTargets(balanced)
	for i, b := range balanced {
		weights[i] = b.target
	}
	return weights
}
