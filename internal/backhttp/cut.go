package backhttp

// Cut describes a request that its server has got in part although its caller was told that it
// succeeded.
type Cut struct {
	// RequestID is that of the request, and Address that of its server.
	RequestID, Address string
	// Bytes is how many bytes of the request the server has not acknowledged.
	Bytes int64
	Cause error
}
