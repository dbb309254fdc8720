package placing

// Load is a server's report of itself.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// SlowdownFactor is how long work takes on the server's machine at the moment; 1 is usual, 0 unknown.
	SlowdownFactor float64
}
