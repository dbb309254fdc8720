package router

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/authority/runner"
	"peridotmoor.org/peridotmoor/internal/key"
)

// mirrorSetConsensus implements record.MirrorSetConsensus with the authority runner.
type mirrorSetConsensus struct {
	shard  key.ShardID
	runner *runner.Runner
	source *runner.Source
}

// Mirrors implements record.MirrorSetConsensus.
func (s *mirrorSetConsensus) Mirrors() authority.MirrorSet {
	if tenure := s.source.Tenure(); tenure != nil {
		return tenure.Mirrors
	}
	return authority.MirrorSet{}
}

// Propose implements record.MirrorSetConsensus.
func (s *mirrorSetConsensus) Propose(ctx context.Context, set authority.MirrorSet) error {
	return s.runner.ProposeMirrors(ctx, s.shard, set.Members)
}
