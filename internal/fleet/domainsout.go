package fleet

import "peridotmoor.org/peridotmoor/internal/store"

// DomainsOut is one reading of the failure domains that the operators have taken out.
type DomainsOut struct {
	// Era and Revision are those of the reading, as in Listing.
	Era, Revision uint64
	Domains       []string
	// Source is how this instance got the reading, for the log.
	Source ReadingSource
}

// Version returns the version of the store that was read.
func (d DomainsOut) Version() store.Version {
	return store.Version{Era: d.Era, Revision: d.Revision}
}
