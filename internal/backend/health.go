package backend

// Health is the answer of a server's health endpoint.
type Health struct {
	Accepting   bool
	Leaving     bool
	Incarnation string
}
