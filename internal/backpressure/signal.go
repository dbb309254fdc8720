package backpressure

// Signal is what a backend server asks of the fleet in one response.
type Signal struct {
	// Leaving is set when the server is about to end and wants no new work.
	Leaving bool
}
