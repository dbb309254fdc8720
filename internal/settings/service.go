package settings

// Service is one service of the tree with its precompiled policies. It is immutable.
type Service struct {
	Name string
	// Keyed says that each key has exactly one owner among the servers.
	Keyed bool
	// Shards is the number of units of authority.
	Shards int
	// OutOfService says that the service gets no new work at all.
	OutOfService bool

	policy  RequestPolicy
	domains map[string]*domainPolicies
	servers [][]Server // by shard, each ordered by name
}

// RequestPolicy returns the policy of key at an entry instance of the failure
// domain. An unknown failure domain gets the values of the service. It does not allocate.
func (s *Service) RequestPolicy(domain, key string) RequestPolicy {
	policies := s.domains[domain]
	if policies == nil {
		return s.policy
	}
	if len(policies.ranges) == 0 {
		return policies.policy
	}
	return policies.lookup(key)
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
	policies := s.domains[domain]
	if policies == nil {
		return ""
	}
	for _, r := range policies.ranges {
		if r.contains(key) {
			return r.name
		}
	}
	return ""
}
