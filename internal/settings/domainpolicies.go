package settings

import (
	"sort"
)

// domainPolicies holds the request policies of one service in one failure domain.
type domainPolicies struct {
	policy RequestPolicy
	ranges []keyRange // disjoint, sorted by from
}

// lookup finds the range of key by binary search; keys outside all ranges get the policy
// of the service in the failure domain.
func (p *domainPolicies) lookup(key string) RequestPolicy {
	i := sort.Search(len(p.ranges), func(i int) bool { return p.ranges[i].from > key }) - 1
	if i >= 0 && p.ranges[i].contains(key) {
		return p.ranges[i].policy
	}
	return p.policy
}
