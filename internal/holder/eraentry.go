package holder

import "time"

// eraEntry is how far a holder has come in entering a later era of the store.
type eraEntry struct {
	// from is the era in which the lease was confirmed last, and era the later one.
	from, era uint64
	// seenAt is when the holder first knew of the later era.
	seenAt time.Time
	// pending is set until the holder has entered the era.
	pending bool
}

// begin begins the entry into an era, unless it has begun already.
func (n *eraEntry) begin(era, leaseEra uint64, now time.Time) {
	if n.era == era {
		return
	}
	if !n.pending {
		n.from = leaseEra
	}
	n.era, n.seenAt, n.pending = era, now, true
}
