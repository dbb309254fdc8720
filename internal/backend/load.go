package backend

// Load is a server's own load report.
type Load struct {
	// Utilization is the share of the server's capacity in use, 0 to 1 and above.
	Utilization float64
	Running     int
}
