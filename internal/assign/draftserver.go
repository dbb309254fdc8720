package assign

// draftServer is a server with the load and the ranges that the draft gives it.
type draftServer struct {
	Server
	load       float64
	rangeCount int
	// standbyCount is the number of ranges for which the server is first or
	// second standby. It is valid after countStandbyPairs.
	standbyCount int
}
