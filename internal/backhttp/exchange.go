package backhttp

import "peridotmoor.org/peridotmoor/internal/membudget"

// exchange is one request on a connection together with its pending response.
type exchange struct {
	request *Request
	// holding is that of the connection for which the request runs.
	holding *membudget.Holding
	// done receives exactly one result.
	done chan result
	// stopWatch ends the watch that resets the connection when the context of the request
	// ends. It reports whether the context had not ended.
	stopWatch func() bool
}
