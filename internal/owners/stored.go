package owners

import (
	"time"
)

// Dirty reports whether the plan differs from the stored record.
func (t *Table) Dirty() bool {
	return t.dirty
}

// Record returns the plan for the store.
func (t *Table) Record() Record {
	record := Record{Epoch: t.epoch, Holder: t.holder, Services: map[string][]RecordRange{}}
	for name, ranges := range t.services {
		for _, r := range ranges {
			out := RecordRange{From: r.From, To: r.To, Owner: r.owner.Name, StartMS: r.owner.StartMS, Fence: r.fence}
			switch {
			case r.phase == PhaseConfirming:
				out.Owner, out.StartMS, out.Fence = r.previous.Server.Name, r.previous.Server.StartMS, r.previous.Fence
			case r.previous != nil:
				out.Previous, out.PreviousStartMS, out.PreviousFence = r.previous.Server.Name, r.previous.Server.StartMS, r.previous.Fence
				out.PreviousUnanswered, out.PreviousAmbiguous = r.previous.UnansweredAtMove, r.previous.Ambiguous
			}
			record.Services[name] = append(record.Services[name], out)
		}
	}
	return record
}

// PlanVersion returns the version of the plan. Pass it to MarkStored once the
// record of this plan is stored.
func (t *Table) PlanVersion() uint64 {
	return t.planVersion
}

// Version returns a number that changes whenever the result of OwnedRanges does.
func (t *Table) Version() uint64 {
	return t.version
}

// HasUnstoredMoves reports whether a move waits until the plan is stored.
func (t *Table) HasUnstoredMoves() bool {
	for _, ranges := range t.services {
		for _, r := range ranges {
			if r.phase == PhasePlanned {
				return true
			}
		}
	}
	return false
}

// newPlanVersion starts a change of the plan and returns its version.
func (t *Table) newPlanVersion() uint64 {
	t.version++
	t.planVersion = t.version
	t.dirty = true
	return t.version
}

// MarkStored starts the moves of the plan with the given version, which is now stored.
func (t *Table) MarkStored(version uint64) {
	for _, ranges := range t.services {
		for _, r := range ranges {
			if r.phase == PhasePlanned && r.version <= version {
				t.startMove(r)
			}
		}
	}
	if version == t.planVersion {
		t.dirty = false
	}
}

func (t *Table) startMove(r *rangeState) {
	r.phase = PhaseGranting
	if r.previous != nil {
		r.phase = PhaseReleasing
	}
	r.nextOrderAt = time.Time{}
	r.orderInFlight = false
	t.version++
}

// InheritedGrantsEnded reports whether all grants of earlier holders have expired.
func (t *Table) InheritedGrantsEnded(now time.Time) bool {
	return !now.Before(t.inheritedUntil)
}

// RangesLost reports whether servers may hold keys that the table does not know of.
func (t *Table) RangesLost(now time.Time) bool {
	return t.rangesLost && !t.InheritedGrantsEnded(now)
}

// ShortenInheritedGrants replaces the assumed expiry of the grants of earlier holders
// if they are now known to expire sooner.
func (t *Table) ShortenInheritedGrants(until time.Time) {
	if !until.Before(t.inheritedUntil) {
		return
	}
	for _, ranges := range t.services {
		for _, r := range ranges {
			replaceAssumed(&r.expiresBy, t.inheritedUntil, until)
			if r.previous != nil {
				replaceAssumed(&r.previous.ExpiresBy, t.inheritedUntil, until)
				replaceAssumed(&r.previous.UnansweredUntil, t.inheritedUntil, until)
			}
		}
	}
	t.inheritedUntil = until
}

// replaceAssumed sets t to the known time if it still has the assumed one.
func replaceAssumed(t *time.Time, assumed, known time.Time) {
	if t.Equal(assumed) {
		*t = known
	}
}
