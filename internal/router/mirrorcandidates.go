package router

import (
	"cmp"
	"slices"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// mirrorCandidates returns the live instances other than self, best mirrors first: one
// instance of each other failure domain, then further ones of these, then those in the
// domain of self. Within each group, witnesses of the shard come first, since the next
// holder is one of them. An instance in the same failure domain is the last resort: it
// survives the loss of the holder, but not of the domain.
func mirrorCandidates(config *authority.WitnessConfig, self authority.Member, live []authority.Member) []authority.Instance {
	ordered := slices.DeleteFunc(slices.Clone(live), func(m authority.Member) bool {
		return m.Instance.Name == self.Instance.Name || m.Instance.Incarnation == ""
	})
	rank := func(m authority.Member) int {
		if config == nil || config.Rank(m.Instance) < 0 {
			return len(live)
		}
		return config.Rank(m.Instance)
	}
	slices.SortStableFunc(ordered, func(a, b authority.Member) int { return cmp.Compare(rank(a), rank(b)) })
	seen := map[string]bool{self.Domain: true}
	var first, second, same []authority.Instance
	for _, m := range ordered {
		switch {
		case m.Domain == self.Domain:
			same = append(same, m.Instance)
		case seen[m.Domain]:
			second = append(second, m.Instance)
		default:
			seen[m.Domain] = true
			first = append(first, m.Instance)
		}
	}
	return slices.Concat(first, second, same)
}

// moveToFront moves preferred to the front if it is a candidate. The mirror from which
// the records were fetched has them already and needs no new copy.
func moveToFront(candidates []authority.Instance, preferred authority.Instance) []authority.Instance {
	at := slices.Index(candidates, preferred)
	if at <= 0 {
		return candidates
	}
	ordered := append([]authority.Instance{preferred}, candidates[:at]...)
	return append(ordered, candidates[at+1:]...)
}
