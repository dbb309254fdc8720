package fleet

import "peridotmoor.org/peridotmoor/internal/store"

// OperatorSettings is what the operators have written to the store, from a single reading.
type OperatorSettings struct {
	// Era and Revision are those of the reading, as in Listing.
	Era, Revision uint64
	// Config is the configuration in the encoding in which the operators wrote it.
	Config []byte
	// DomainsOut holds the sorted failure domains whose servers get no new work.
	DomainsOut []string
	// Source is how this instance got the reading, for the log.
	Source ReadingSource
}

// Version returns the version of the store that was read.
func (s OperatorSettings) Version() store.Version {
	return store.Version{Era: s.Era, Revision: s.Revision}
}
