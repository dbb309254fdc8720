package fleet

// OperatorSettings is what the operators have written, as read in one piece.
type OperatorSettings struct {
	// Revision is the store's, from which on the reading holds, as in Listing.
	Revision uint64
	// Config is the configuration as the operators wrote it.
	Config []byte
	// DomainsOut are the failure domains whose servers get no new work, in order.
	DomainsOut []string
}
