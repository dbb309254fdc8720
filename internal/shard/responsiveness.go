package shard

// condition says whether a server answers the holder.
type responsiveness int

const (
	// unknown: no call has ended yet.
	unknown responsiveness = iota
	responsive
	unresponsive
)
