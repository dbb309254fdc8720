package backend

// Load is the load that a server reports.
type Load struct {
	// Utilization is the used share of the server's capacity. It may exceed 1.
	Utilization float64
	Running     int
}
