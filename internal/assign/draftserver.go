package assign

// draftServer is a server with what the draft gives it.
type draftServer struct {
	Server
	load       float64
	rangeCount int
	// standbyCount counts the ranges for which the server is first or second standby.
	standbyCount int
}
