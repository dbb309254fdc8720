package owners

// balancedServer is a server that takes part in the balance of a service.
type balancedServer struct {
	*serverLoad
	// steady is its steady rate in requests/s, and target the rate that it should have.
	steady, target float64
	ranges         int
	table          *utilizationTable
}

func (b *balancedServer) model() responseTime {
	return responseTime{slots: float64(b.Slots)}
}

// marginalAt returns by how much one more request/s raises the total response time.
func (b *balancedServer) marginalAt(rate float64) float64 {
	return b.ServiceTime * b.model().marginal(rate/b.capacity())
}

// totalAt returns the response times of all requests of a second.
func (b *balancedServer) totalAt(rate float64) float64 {
	return rate * b.ServiceTime * b.model().at(rate/b.capacity())
}

// rateAt returns the highest rate at which one more request costs at most the given time, but
// not less than least if the server can carry it.
func (b *balancedServer) rateAt(marginal, least float64) float64 {
	return max(b.capacity()*b.table.utilization(marginal/b.ServiceTime), min(least, maxBalancedUtilization*b.capacity()))
}
