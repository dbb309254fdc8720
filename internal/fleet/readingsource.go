package fleet

// ReadingSource is how an instance got a reading of the store.
type ReadingSource uint8

// The sources.
const (
	// SourceStore is a read of its own.
	SourceStore ReadingSource = iota
	// SourceLink is a message from the holder, or from a follower to the holder.
	SourceLink
)

// String returns the name of the source in logs.
func (s ReadingSource) String() string {
	if s == SourceLink {
		return "link"
	}
	return "store"
}
