package backhttp

// exchange is one request on a connection, from its first byte to its answer.
type exchange struct {
	request *Request
	// done receives exactly one result.
	done chan result
}
