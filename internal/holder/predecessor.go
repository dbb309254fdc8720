package holder

import "time"

// predecessor is what a candidate knows about the holder that it replaces.
type predecessor struct {
	// era is the era of the store in which the candidate has found that holder, or none.
	era uint64
	// revision is that of the holder's key, or 0 if there is no key.
	revision uint64
	// tenureName is that of the tenure in the key, or empty if there is no readable key.
	tenureName string
	// grantsBound limits how long grants of the holder may remain valid; 0 means that no
	// limit is known.
	grantsBound time.Duration
	// mayHoldLease is set if the lease of the holder may not have ended, as only its key
	// was spoiled. Then it may act although the fleet has left it.
	mayHoldLease bool
}
