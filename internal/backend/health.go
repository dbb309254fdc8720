package backend

// Health is the response of a server's health endpoint.
type Health struct {
	Accepting   bool
	Leaving     bool
	Incarnation string
}
