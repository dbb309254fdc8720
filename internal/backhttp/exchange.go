package backhttp

// exchange is one request on a connection together with its pending response.
type exchange struct {
	request *Request
	// done receives exactly one result.
	done chan result
}
