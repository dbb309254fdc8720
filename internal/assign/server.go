package assign

// Server is the planner's view of one backend server.
type Server struct {
	Name   string
	Domain string
	State  ServerState
	// Slow reports that the server is much slower than the others of its shard;
	// see SlowDetector.
	Slow bool
	// Unresponsive reports that the server did not answer its last call but may
	// still own ranges. It keeps them, and balancing moves no others to it.
	Unresponsive bool
}
