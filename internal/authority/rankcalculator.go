package authority

// rankCalculator computes the rank of one member in the rendezvous order of a
// shard without sorting. With 930 members and as many shards, sorting took 0.25
// s, long enough to miss renewals.
type rankCalculator struct {
	selfHash       uint64
	domain         string
	hashesByDomain map[string][]uint64
}

// newRankCalculator returns the calculator for self among live, which need not
// contain self.
func newRankCalculator(self Member, live []Member) rankCalculator {
	r := rankCalculator{selfHash: hashName(self), domain: self.Domain, hashesByDomain: map[string][]uint64{}}
	for _, m := range live {
		r.hashesByDomain[m.Domain] = append(r.hashesByDomain[m.Domain], hashName(m))
	}
	return r
}

// rank returns how many eligible members have a higher score for the shard, or
// -1 if the member itself is not eligible.
func (r rankCalculator) rank(spec ShardSpec) int {
	domains := r.eligible(spec)
	if _, ok := domains[r.domain]; !ok {
		return -1
	}
	shardHash := hashShard(spec.ID)
	own := score(shardHash, r.selfHash)
	rank := 0
	for _, names := range domains {
		for _, name := range names {
			if score(shardHash, name) > own {
				rank++
			}
		}
	}
	return rank
}

// eligible returns the shard's domains that have members, or all domains if
// none has.
func (r rankCalculator) eligible(spec ShardSpec) map[string][]uint64 {
	inRegion := map[string][]uint64{}
	for _, domain := range spec.Domains {
		if names, ok := r.hashesByDomain[domain]; ok {
			inRegion[domain] = names
		}
	}
	if len(inRegion) == 0 {
		return r.hashesByDomain
	}
	return inRegion
}
