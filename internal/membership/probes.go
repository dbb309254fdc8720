package membership

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

const (
	// Minimum time between two probes of an instance that is suspect, has an unknown
	// incarnation, or is gone but still listed.
	suspectProbeInterval = time.Second
	unknownProbeInterval = 5 * time.Second
	goneProbeInterval    = 30 * time.Second
)

// TakeDueProbes returns up to limit members whose incarnation should be probed, those never
// probed first, and records now as the time of their probe.
func (t *Table) TakeDueProbes(now time.Time, limit int) []authority.Member {
	var due []*record
	for _, r := range t.records {
		interval, needed := r.probeInterval()
		if needed && r.Member.Address != "" && !r.probedAt.Add(interval).After(now) {
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

// probeInterval returns the time between probes of the instance; needed is false if it does
// not have to be probed.
func (r *record) probeInterval() (interval time.Duration, needed bool) {
	switch {
	case r.State == Suspect:
		return suspectProbeInterval, true
	case r.State == Gone:
		return goneProbeInterval, r.listedState != ""
	}
	return unknownProbeInterval, r.Member.Instance.Incarnation == ""
}
