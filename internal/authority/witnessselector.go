package authority

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"peridotmoor.org/peridotmoor/internal/key"
)

// maxWitnesses tolerates the loss of two witnesses, and therefore of any one of
// three failure domains.
const maxWitnesses = 5

// WitnessSelector selects the witnesses of a shard by rendezvous hashing of
// instance names. Every process with the same list selects the same witnesses,
// and a restarted instance regains its rank.
type WitnessSelector struct {
	spec     ShardSpec
	eligible []Member
}

// NewWitnessSelector returns a selector among the live members.
func NewWitnessSelector(spec ShardSpec, live []Member) WitnessSelector {
	inRegion := make([]Member, 0, len(live))
	for _, m := range live {
		if slices.Contains(spec.Domains, m.Domain) {
			inRegion = append(inRegion, m)
		}
	}
	if len(inRegion) == 0 {
		inRegion = slices.Clone(live)
	}
	return WitnessSelector{spec: spec, eligible: sortByScore(spec.ID, inRegion)}
}

// Select returns the witnesses in rank order: as many eligible members of keep
// as possible, then others by score, spread over the failure domains.
func (s WitnessSelector) Select(keep []Member) []Member {
	count := witnessCount(len(s.eligible))
	perDomain := s.maxPerDomain(count)
	chosen := make([]Member, 0, count)
	inDomain := map[string]int{}
	add := func(from []Member, limit int) {
		for _, m := range from {
			if len(chosen) < count && inDomain[m.Domain] < limit && !slices.Contains(chosen, m) {
				chosen = append(chosen, m)
				inDomain[m.Domain]++
			}
		}
	}
	add(s.eligibleAmong(keep), perDomain)
	add(s.eligible, perDomain)
	add(s.eligible, count)
	return sortByScore(s.spec.ID, chosen)
}

func (s WitnessSelector) eligibleAmong(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(s.eligible), func(m Member) bool {
		return !containsInstance(members, m.Instance)
	})
}

// maxPerDomain returns the maximum number of witnesses in one failure domain,
// for example 2+2+1 for five witnesses in three domains.
func (s WitnessSelector) maxPerDomain(count int) int {
	domains := map[string]bool{}
	for _, m := range s.eligible {
		domains[m.Domain] = true
	}
	if len(domains) == 0 {
		return 0
	}
	return (count + len(domains) - 1) / len(domains)
}

// witnessCount returns an odd number, because an even set tolerates no more
// losses than the next smaller odd one.
func witnessCount(eligible int) int {
	if eligible >= maxWitnesses {
		return maxWitnesses
	}
	if eligible > 0 && eligible%2 == 0 {
		return eligible - 1
	}
	return eligible
}

func sortByScore(shard key.ShardID, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	shardHash := hashShard(shard)
	sorted := make([]scored, len(members))
	for i, m := range members {
		sorted[i] = scored{m, score(shardHash, hashName(m))}
	}
	slices.SortFunc(sorted, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.member.Instance.Name, b.member.Instance.Name)
	})
	result := make([]Member, len(members))
	for i, s := range sorted {
		result[i] = s.member
	}
	return result
}

func hashShard(shard key.ShardID) uint64 {
	return xxhash.Sum64String(shard.String())
}

// hashName depends on the name only, not on the incarnation.
func hashName(m Member) uint64 {
	return xxhash.Sum64String(m.Instance.Name)
}

// score combines two hashes, so that each string is hashed only once when all
// members are ranked for all shards.
func score(shard, name uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], shard)
	binary.LittleEndian.PutUint64(both[8:], name)
	return xxhash.Sum64(both[:])
}
