package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/quorum"
)

// eraProof is whether a holder may go on in a later era of the store.
type eraProof int

const (
	// eraRefuted means that another holder may have been elected in the era before.
	eraRefuted eraProof = iota
	// eraUnproved means that this may be proved later.
	eraUnproved
	// eraProved means that no other holder has granted anything, nor can do so.
	eraProved
)

// proveEra reports whether a holder that has its key in a later era may go on there.
//
// In the era before no successor can have been elected within the lease. One that was elected
// later, while the store did not answer this holder, grants nothing without 45% of the fleet
// within 22 s, and the era that it was elected in has ended. It goes on for 15 s at most, with
// 60% of the fleet that had joined it in that era. So it is enough that 60% have followed this
// holder since the new era was known. An era in between may have had any holders.
func (c *Coordinator) proveEra(now time.Time, entry eraEntry) eraProof {
	leaseConfirmedAt := c.leaseConfirmedAt.Load()
	if entry.era != entry.from+1 || leaseConfirmedAt == nil || c.superseded.Load() {
		return eraRefuted
	}
	outage := now.Sub(*leaseConfirmedAt)
	switch {
	case outage < leaseTTL:
		return eraProved
	case outage > maxStoreOutage:
		return eraRefuted
	case now.Sub(entry.seenAt) < quorum.ProofValidity || !quorum.Retained(c.retainedShare(now, *leaseConfirmedAt)):
		return eraUnproved
	}
	return eraProved
}
