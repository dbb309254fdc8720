package link

import (
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// EncodeKnown describes the facts of an instance to the holder that it joins.
func EncodeKnown(s *facts.Snapshot) *linkpb.Known {
	ranges := 0
	for _, owned := range s.OwnedRanges {
		ranges += len(owned)
	}
	return &linkpb.Known{
		Orders:  facts.SettingsDigest(s.OperatorSettings),
		Listing: facts.NewListingDigest(s.Servers, facts.Partitions(len(s.Servers))),
		Owners:  facts.NewOwnersDigest(s.OwnedRanges, facts.Partitions(ranges)),
	}
}
