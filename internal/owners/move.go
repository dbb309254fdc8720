package owners

// Move is a planned change of owner.
type Move struct {
	Service string
	Interval
	// From and To are the names of the servers. From is empty for the first owner.
	From, To string
	Reason   MoveReason
}
