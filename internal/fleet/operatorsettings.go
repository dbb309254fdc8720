package fleet

// OperatorSettings is what the operators have written to the store, from a single reading.
type OperatorSettings struct {
	// Era and Revision are those of the reading, as in Listing.
	Era, Revision uint64
	// Config is the configuration in the encoding in which the operators wrote it.
	Config []byte
	// DomainsOut holds the sorted failure domains whose servers get no new work.
	DomainsOut []string
}
