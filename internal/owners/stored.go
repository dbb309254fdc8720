package owners

import (
	"time"
)

// Dirty reports whether the plan differs from what was stored last.
func (t *Table) Dirty() bool {
	return t.dirty
}

// Record returns the plan for the store.
func (t *Table) Record() Record {
	r := Record{Epoch: t.epoch, Holder: t.holder, Services: map[string][]RecordRange{}}
	for name, spans := range t.services {
		for _, s := range spans {
			out := RecordRange{From: s.From, To: s.To, Owner: s.owner.Name, StartMS: s.owner.StartMS, Fence: s.fence}
			if s.previous != nil {
				out.Previous, out.PreviousStartMS, out.PreviousFence = s.previous.Server.Name, s.previous.Server.StartMS, s.previous.Fence
				out.PreviousUnanswered, out.PreviousAmbiguous = s.previous.UnansweredAtMove, s.previous.Ambiguous
			}
			r.Services[name] = append(r.Services[name], out)
		}
	}
	return r
}

// PlanVersion returns the version of the plan, to be given to Stored.
func (t *Table) PlanVersion() uint64 {
	return t.planVersion
}

// Version changes with everything that Spans shows.
func (t *Table) Version() uint64 {
	return t.version
}

// HasUnstoredMoves reports whether a move waits for the store.
func (t *Table) HasUnstoredMoves() bool {
	for _, spans := range t.services {
		for _, s := range spans {
			if s.phase == PhasePlanned {
				return true
			}
		}
	}
	return false
}

// newPlanVersion begins a newPlanVersion of the plan and returns its version.
func (t *Table) newPlanVersion() uint64 {
	t.version++
	t.planVersion = t.version
	t.dirty = true
	return t.version
}

// MarkStored tells that the plan of the given version is in the store: its moves may begin.
func (t *Table) MarkStored(version uint64) {
	for _, spans := range t.services {
		for _, s := range spans {
			if s.phase == PhasePlanned && s.version <= version {
				t.startMove(s)
			}
		}
	}
	if version == t.planVersion {
		t.dirty = false
	}
}

func (t *Table) startMove(s *rangeState) {
	s.phase = PhaseGranting
	if s.previous != nil {
		s.phase = PhaseReleasing
	}
	s.nextOrderAt = time.Time{}
	s.orderInFlight = false
	t.version++
}

// InheritedGrantsEnded reports whether all holds of earlier holders have ended.
func (t *Table) InheritedGrantsEnded(now time.Time) bool {
	return !now.Before(t.inheritedUntil)
}

// ShortenInheritedGrants tells that the holds of earlier holders end sooner than was assumed.
func (t *Table) ShortenInheritedGrants(until time.Time) {
	if !until.Before(t.inheritedUntil) {
		return
	}
	for _, spans := range t.services {
		for _, s := range spans {
			replaceAssumed(&s.expiresBy, t.inheritedUntil, until)
			if s.previous != nil {
				replaceAssumed(&s.previous.ExpiresBy, t.inheritedUntil, until)
				replaceAssumed(&s.previous.UnansweredUntil, t.inheritedUntil, until)
			}
		}
	}
	t.inheritedUntil = until
}

// replaceAssumed replaces a time that was assumed for lack of knowledge.
func replaceAssumed(t *time.Time, assumed, known time.Time) {
	if t.Equal(assumed) {
		*t = known
	}
}
