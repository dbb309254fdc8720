package membership

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

const (
	// suspectProbeInterval, unknownProbe and goneProbe separate the probes of one instance.
	suspectProbeInterval = time.Second
	unknownProbeInterval = 5 * time.Second
	goneProbeInterval    = 30 * time.Second
)

// TakeDueProbes returns up to limit members that should be asked for their
// incarnation, those never asked first, and notes that they are asked at now.
func (t *Table) TakeDueProbes(now time.Time, limit int) []authority.Member {
	var due []*record
	for _, r := range t.records {
		pause, wanted := r.probeInterval()
		if wanted && r.Member.Address != "" && !r.probedAt.Add(pause).After(now) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *record) int {
		if c := a.probedAt.Compare(b.probedAt); c != 0 {
			return c
		}
		return slices.Compare([]byte(a.Member.Instance.Name), []byte(b.Member.Instance.Name))
	})
	due = due[:min(limit, len(due))]
	members := make([]authority.Member, len(due))
	for i, r := range due {
		r.probedAt = now
		members[i] = r.Member
	}
	return members
}

// probeInterval returns how often the instance is probed; wanted is false when it
// is in contact.
func (r *record) probeInterval() (pause time.Duration, wanted bool) {
	switch {
	case r.State == Suspect:
		return suspectProbeInterval, true
	case r.State == Gone:
		return goneProbeInterval, r.listedState != ""
	}
	return unknownProbeInterval, r.Member.Instance.Incarnation == ""
}
