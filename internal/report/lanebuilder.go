package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// newLanes returns the histories of all shards, ordered by name.
func newLanes(j *Journal) []ShardHistory {
	b := laneBuilder{lanes: map[string]*ShardHistory{}, silent: map[string]time.Time{}, last: map[string]time.Time{}}
	for _, r := range j.Records {
		b.add(r)
	}
	var lanes []ShardHistory
	for _, lane := range slices.SortedFunc(maps.Values(b.lanes), func(a, b *ShardHistory) int { return cmp.Compare(a.Shard, b.Shard) }) {
		lane.cut(b.last)
		lanes = append(lanes, *lane)
	}
	return lanes
}

type laneBuilder struct {
	lanes map[string]*ShardHistory
	// silent is when a holder noticed the loss of a server, by holder and server.
	silent map[string]time.Time
	// last is the time of the last record of each instance.
	last map[string]time.Time
}

func (b *laneBuilder) lane(r *Record) *ShardHistory {
	shard := r.Text(fieldShard)
	if b.lanes[shard] == nil {
		b.lanes[shard] = &ShardHistory{Shard: shard}
	}
	return b.lanes[shard]
}

func (b *laneBuilder) add(r *Record) {
	b.last[r.Instance] = r.At
	switch r.Event {
	case events.GrantsBegun.Number:
		lane := b.lane(r)
		lane.Tenures = append(lane.Tenures, Tenure{Holder: r.Instance, Token: r.Text(fieldToken), From: r.At})
	case events.GrantsEnded.Number:
		b.lane(r).end(r)
	case events.ServerSilent.Number, events.ServerRestarted.Number:
		b.silent[r.Instance+" "+r.Text(fieldServer)] = r.At
	case events.OwnerReplaced.Number:
		b.replaced(r)
	case events.OwnerMissing.Number:
		lane := b.lane(r)
		lane.MissingOwners = append(lane.MissingOwners, MissingOwner{Range: r.Text(fieldRange), At: r.At})
	}
}

func (b *laneBuilder) replaced(r *Record) {
	p := Takeover{Range: r.Text(fieldRange), PreviousOwner: r.Text(fieldFrom), NewOwner: r.Text(fieldTo), From: r.At, Until: r.At}
	if noticed, found := b.silent[r.Instance+" "+p.PreviousOwner]; found {
		p.From = noticed
	}
	lane := b.lane(r)
	lane.Takeovers = append(lane.Takeovers, p)
}
