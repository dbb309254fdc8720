package owners

// firstWeights returns the shares of the keys that servers get in the first plan. They are in
// proportion to the capacity, so that all servers are equally utilized at any load.
func firstWeights(servers []*serverLoad) []float64 {
	weights := make([]float64, len(servers))
	for i, l := range servers {
		weights[i] = float64(l.Slots) / l.ServiceTime
	}
	return weights
}
