package router

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority/runner"
	"peridotmoor.org/peridotmoor/internal/record"
)

// mirrorGuard confirms a copy only if this instance has not promised the shard to a later
// holder. It stores the copy before it checks the promise, so that every holder with a
// higher token finds each confirmed copy.
type mirrorGuard struct {
	mirror *record.Mirror
	runner *runner.Runner
}

// Copy implements peer.MirrorHandler.
func (g *mirrorGuard) Copy(c record.CopyRequest) record.CopyReply {
	reply := g.mirror.Copy(c)
	if !reply.Accepted {
		return reply
	}
	highest, ok := g.runner.Source(c.Shard).MayConfirmCopy(c.Holder, c.Token)
	if !ok {
		return record.CopyReply{Highest: highest}
	}
	return reply
}

// Fetch implements peer.MirrorHandler.
func (g *mirrorGuard) Fetch(f record.FetchRequest) ([]record.Record, time.Time, error) {
	return g.mirror.Fetch(f)
}
