package settings

// Service is a service with its policies precomputed for lookups on the request path.
// It is immutable.
type Service struct {
	Name string
	// Keyed is true if each key has exactly one owner among the servers.
	Keyed bool
	// Shards is the number of shards; each has a holder of its own.
	Shards int
	// OutOfService is true if the service gets no new requests.
	OutOfService bool
	// AllowAnonymous is true if callers need no key, also if the tree has teams.
	AllowAnonymous bool

	policy  RequestPolicy
	domains map[string]*domainPolicies
	servers [][]Server // by shard, each sorted by name
}

// RequestPolicy returns the policy of key at an entry instance in domain. An unknown
// failure domain gets the policy of the service. It does not allocate.
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

// Servers returns the servers of one shard, sorted by name. The caller must not modify
// the slice.
func (s *Service) Servers(shard int) []Server {
	if shard < 0 || shard >= len(s.servers) {
		return nil
	}
	return s.servers[shard]
}

// RangeOf returns the name of the key range that contains key, or "" if there is none.
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
