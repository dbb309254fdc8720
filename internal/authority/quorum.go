package authority

import (
	"slices"
	"time"
)

// Quorum computes whether the promises for one configuration suffice to hold
// the shard: a majority of the witnesses has promised, and of each previous set
// a majority is sealed at this epoch or proven terminated. A member is sealed at
// an epoch once it has promised in it, because it then refuses the tokens of
// earlier epochs. Quorum does no I/O.
type Quorum struct {
	Config WitnessConfig
	// PromiseSent returns when the latest promised request to a member was
	// sent. The zero time means that the member has not promised in this epoch.
	PromiseSent func(Instance) time.Time
	// Terminated reports whether a member is proven terminated and its promises
	// have expired.
	Terminated func(Instance) bool
}

// PromisedSince returns the time from which the tenure is measured: the latest
// time such that a majority has promised requests sent at that time or later.
// ok is false if there is no quorum.
func (q Quorum) PromisedSince() (since time.Time, ok bool) {
	for _, set := range q.Config.Previous {
		if !q.sealed(set) {
			return time.Time{}, false
		}
	}
	return q.majoritySince(q.Config.Witnesses)
}

func (q Quorum) majoritySince(set []Member) (time.Time, bool) {
	if len(set) == 0 {
		return time.Time{}, false
	}
	times := make([]time.Time, len(set))
	for i, m := range set {
		times[i] = q.PromiseSent(m.Instance)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	since := times[Majority(len(set))-1]
	return since, !since.IsZero()
}

func (q Quorum) sealed(set []Member) bool {
	count := 0
	for _, m := range set {
		if !q.PromiseSent(m.Instance).IsZero() || q.Terminated(m.Instance) {
			count++
		}
	}
	return count >= Majority(len(set))
}

// MajoritiesAnswered reports whether a majority of every set has promised
// itself, without proofs of termination. The knowledge of the sets, such as the
// mirror set, is then complete.
func (q Quorum) MajoritiesAnswered() bool {
	for _, set := range append([][]Member{q.Config.Witnesses}, q.Config.Previous...) {
		if _, ok := q.majoritySince(set); !ok {
			return false
		}
	}
	return true
}
