package fleet

// ListingSource is how an instance got a reading of the list of servers.
type ListingSource uint8

// The sources.
const (
	// SourceStore is a read of its own.
	SourceStore ListingSource = iota
	// SourceLink is a message from the holder, or from a follower to the holder.
	SourceLink
)

// String returns the name of the source in logs.
func (s ListingSource) String() string {
	if s == SourceLink {
		return "link"
	}
	return "store"
}
