package fleet

// Listing is one reading of the platform's list of backend servers.
type Listing struct {
	Servers []Server
	// Unreadable holds the keys of entries that name no server, for the log.
	Unreadable []string
}
