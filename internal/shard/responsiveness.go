package shard

// responsiveness says whether a server answers the calls of the holder.
type responsiveness int

const (
	// unknown means that the first call has not ended yet.
	unknown responsiveness = iota
	responsive
	unresponsive
)
