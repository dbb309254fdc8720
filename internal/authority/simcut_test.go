package authority

// simCut is how messages cross the borders of partitions. The zero value loses all of them.
type simCut struct {
	// oneWay lets messages pass to partitions with a higher number.
	oneWay bool
	// resets makes senders see a refused connection.
	resets bool
	// store is set if the store, in partition 0, is cut off as well.
	store bool
}

func (c simCut) passes(from, to int) bool {
	return from == to || c.oneWay && from < to
}
