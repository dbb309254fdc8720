package router

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/authority/keeper"
	"peridotmoor.org/peridotmoor/internal/key"
)

// mirrorSets implements record.MirrorSets over the keeper.
type mirrorSets struct {
	shard  key.ShardID
	keeper *keeper.Keeper
	source *keeper.Source
}

// Mirrors implements record.MirrorSets.
func (s *mirrorSets) Mirrors() authority.MirrorSet {
	if tenure := s.source.Tenure(); tenure != nil {
		return tenure.Mirrors
	}
	return authority.MirrorSet{}
}

// Propose implements record.MirrorSets.
func (s *mirrorSets) Propose(ctx context.Context, set authority.MirrorSet) error {
	return s.keeper.ProposeMirrors(ctx, s.shard, set.Members)
}

// mirrorCandidates lists the witnesses in other failure domains than self, one
// of each domain before a second of any, in rank order.
func mirrorCandidates(config *authority.Config, self authority.Member) []authority.Instance {
	if config == nil {
		return nil
	}
	var first, rest []authority.Instance
	seen := map[string]bool{self.Domain: true}
	for _, m := range config.Witnesses {
		switch {
		case m.Instance == self.Instance || m.Domain == self.Domain:
		case seen[m.Domain]:
			rest = append(rest, m.Instance)
		default:
			seen[m.Domain] = true
			first = append(first, m.Instance)
		}
	}
	return append(first, rest...)
}
