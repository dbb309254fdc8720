package fleet

// Listing is one reading of the platform's list of backend servers.
type Listing struct {
	// Revision is the store's, from which on the reading holds: of two readings, the
	// one with the higher revision is the newer, whenever and however they arrive.
	Revision uint64
	Servers  []Server
	// Unreadable holds the keys of entries that name no server, for the log.
	Unreadable []string
}
