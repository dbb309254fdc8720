package assign

// draftServer is a server with what the draft gives it.
type draftServer struct {
	Server
	load   float64
	ranges int
	// standbys counts the ranges for which the server is first or second standby.
	standbys int
}
