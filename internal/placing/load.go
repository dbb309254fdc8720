package placing

// Load is the load that a server reports with a response.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// SlowdownFactor is the current service time on the server's machine relative to
	// the usual one; 0 means unknown.
	SlowdownFactor float64
}
