package gateway

// localAttempt is an attempt that this instance has placed without the holder.
type localAttempt struct {
	server string
	// team is the team from whose local bucket the request was taken, or empty.
	team string
}
