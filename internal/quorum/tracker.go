package quorum

import "time"

// Tracker holds the fleets that a successor of this holder may find in the record: the one
// that is known to be stored, and those whose write may have taken effect. It is not safe
// for concurrent use. The zero value knows of no fleet.
type Tracker struct {
	stored Fleet
	// proposed holds the fleets of writes that have not succeeded yet.
	proposed []Fleet
}

// NewTracker returns the tracker of a holder that has found the given fleet in the record.
func NewTracker(found Fleet) Tracker {
	return Tracker{stored: found}
}

// Stored returns the fleet that is known to be stored.
func (t *Tracker) Stored() Fleet {
	return t.stored
}

// Propose must be called before a write of the record with the fleet begins.
func (t *Tracker) Propose(f Fleet) {
	for _, known := range append(t.proposed, t.stored) {
		if known.Equal(f) {
			return
		}
	}
	t.proposed = append(t.proposed, f)
}

// Confirm must be called once a write of the record with the fleet has succeeded. As
// writes follow each other, none of an earlier one can be stored any more.
func (t *Tracker) Confirm(f Fleet) {
	t.stored, t.proposed = f, nil
}

// RetainedShare returns the share of the fleet that provably follows the holder, and no
// successor, at now. A successor counts the fleet that it finds in the record, so this is
// the least share of all fleets that may be stored.
func (t *Tracker) RetainedShare(now, leaseConfirmedAt time.Time, followers []Follower) float64 {
	names := Counting(now, leaseConfirmedAt, followers)
	share := t.stored.share(names)
	for _, f := range t.proposed {
		share = min(share, f.share(names))
	}
	return share
}

// Retained reports whether a holder that retains the share of the fleet may go on without
// its lease.
func Retained(share float64) bool {
	return share >= retainedShare
}

// JoinedShare returns the share of the fleet found in the record that the given instances
// are.
func JoinedShare(found Fleet, joined map[string]bool) float64 {
	return found.share(joined)
}

// ExcludesPredecessors reports whether so much of the fleet found in the record has joined a
// successor that no holder before it can go on without its lease. That holder may not have
// noticed yet: its proofs are valid for ProofValidity.
func ExcludesPredecessors(found Fleet, joined map[string]bool) bool {
	return found.share(joined) >= joinedShare
}
