package assign

// Server is what the planner knows about one backend server.
type Server struct {
	Name   string
	Domain string
	State  ServerState
	// Slow reports that the server is much slower than its shard; see SlowDetector.
	Slow bool
	// Unresponsive reports that the server did not answer its last call, but may still
	// own ranges. It keeps what it has and gets nothing.
	Unresponsive bool
}
