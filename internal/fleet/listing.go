package fleet

import "peridotmoor.org/peridotmoor/internal/store"

// Listing is one reading of the platform's list of backend servers.
type Listing struct {
	// Revision is the store revision of the reading, in the given era of the store. Of two
	// readings, the one with the later era, and in one era that with the higher revision, is
	// newer, in whatever order and by whatever path they arrive.
	Era, Revision uint64
	Servers       []Server
	// Source is how this instance got the reading, for the log.
	Source ReadingSource
	// Unreadable holds the entries that could not be decoded, for the log.
	Unreadable []UnreadableEntry
}

// Version returns the version of the store that was read.
func (l Listing) Version() store.Version {
	return store.Version{Era: l.Era, Revision: l.Revision}
}
