package settings

import "sort"

// Service is one service of the tree with its precompiled policies. It is immutable.
type Service struct {
	Name string
	// Keyed says that each key has exactly one owner among the servers.
	Keyed bool
	// Shards is the number of units of authority.
	Shards int
	// Out says that the service gets no new work at all.
	Out bool

	policy  RequestPolicy
	domains map[string]*servicePolicies
	servers [][]Server // by shard, each ordered by name
}

// servicePolicies are the request policies of one service in one failure domain.
type servicePolicies struct {
	policy RequestPolicy
	ranges []keyRange // disjoint, ordered by from
}

// keyRange is the half-open interval [from, to) of keys in byte order.
type keyRange struct {
	name   string
	from   string
	to     string
	open   bool // the range has no upper end
	policy RequestPolicy
}

func (r keyRange) contains(key string) bool {
	return key >= r.from && (r.open || key < r.to)
}

// RequestPolicy returns the policy of key at an entry instance of the failure
// domain. An unknown failure domain gets the values of the service. It does not allocate.
func (s *Service) RequestPolicy(domain, key string) RequestPolicy {
	in := s.domains[domain]
	if in == nil {
		return s.policy
	}
	if len(in.ranges) == 0 {
		return in.policy
	}
	return in.lookup(key)
}

func (p *servicePolicies) lookup(key string) RequestPolicy {
	i := sort.Search(len(p.ranges), func(i int) bool { return p.ranges[i].from > key }) - 1
	if i >= 0 && p.ranges[i].contains(key) {
		return p.ranges[i].policy
	}
	return p.policy
}

// Servers returns the servers of one shard, ordered by name. The caller must not change the slice.
func (s *Service) Servers(shard int) []Server {
	if shard < 0 || shard >= len(s.servers) {
		return nil
	}
	return s.servers[shard]
}

// RangeOf returns the name of the key range that key is in, or "" when none is written for it.
func (s *Service) RangeOf(domain, key string) string {
	in := s.domains[domain]
	if in == nil {
		return ""
	}
	for _, r := range in.ranges {
		if r.contains(key) {
			return r.name
		}
	}
	return ""
}
