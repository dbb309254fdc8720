package settings

// ServerPolicy holds the server-scoped settings of one backend server.
type ServerPolicy struct {
	// Slots is how many requests the server runs at a time.
	Slots int
	// Connections is how many connections the server accepts.
	Connections int
	// ColdRate is the request rate in requests/s at which a cold start begins.
	ColdRate int
	// ChecksTokens says that the server refuses tokens lower than one it has seen.
	ChecksTokens bool
	// InService says that the server may get work. It is false when the service, the
	// failure domain, the service in that failure domain or the server is out.
	InService bool
	// OutOfServiceBy names the first section that takes the server out, empty when In.
	OutOfServiceBy string
}
