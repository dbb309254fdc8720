package settings

// ServerPolicy holds the server-scoped settings of one backend server.
type ServerPolicy struct {
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Connections is the number of connections that the server accepts.
	Connections int
	// ColdRate is the request rate, in requests/s, at which the slow start of a cold
	// server begins.
	ColdRate int
	// ChecksTokens is true if the server rejects fencing tokens lower than one it has seen.
	ChecksTokens bool
	// InService is true if the server may get requests. It is false if the service, the
	// failure domain, the service in that failure domain or the server has state = out.
	InService bool
	// OutOfServiceBy is the name of the least specific section with state = out; it is
	// empty if InService.
	OutOfServiceBy string
}
