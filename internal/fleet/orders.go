package fleet

// Orders is what the operators have written, as read in one piece.
type Orders struct {
	// Config is the configuration as the operators wrote it.
	Config []byte
	// DomainsOut are the failure domains whose servers get no new work, in order.
	DomainsOut []string
}
