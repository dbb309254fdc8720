package shard

// condition says whether a server answers the holder.
type condition int

const (
	// unknown: no call has ended yet.
	unknown condition = iota
	answering
	silent
)
