package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// newShardHistories returns the histories of all shards, sorted by name.
func newShardHistories(j *Journal) []ShardHistory {
	b := shardHistoryBuilder{histories: map[string]*ShardHistory{}, lossNoticed: map[string]time.Time{}, last: map[string]time.Time{}}
	for _, r := range j.Records {
		b.add(r)
	}
	var histories []ShardHistory
	for _, history := range slices.SortedFunc(maps.Values(b.histories), func(a, b *ShardHistory) int { return cmp.Compare(a.Shard, b.Shard) }) {
		history.closeOpenTenures(b.last)
		histories = append(histories, *history)
	}
	return histories
}

type shardHistoryBuilder struct {
	histories map[string]*ShardHistory
	// lossNoticed is when a holder noticed the loss of a server, by holder and server.
	lossNoticed map[string]time.Time
	// last is the time of the last record of each instance.
	last map[string]time.Time
}

func (b *shardHistoryBuilder) history(r *Record) *ShardHistory {
	shard := r.Text(fieldShard)
	if b.histories[shard] == nil {
		b.histories[shard] = &ShardHistory{Shard: shard}
	}
	return b.histories[shard]
}

func (b *shardHistoryBuilder) add(r *Record) {
	b.last[r.Instance] = r.At
	switch r.Event {
	case events.GrantsBegun.Number:
		history := b.history(r)
		history.Tenures = append(history.Tenures, Tenure{Holder: r.Instance, Token: r.Text(fieldToken), From: r.At})
	case events.GrantsEnded.Number:
		b.history(r).endTenure(r)
	case events.ServerSilent.Number, events.ServerRestarted.Number:
		b.lossNoticed[r.Instance+" "+r.Text(fieldServer)] = r.At
	case events.OwnerReplaced.Number:
		b.addTakeover(r)
	case events.OwnerMissing.Number:
		history := b.history(r)
		history.MissingOwners = append(history.MissingOwners, MissingOwner{Range: r.Text(fieldRange), At: r.At})
	}
}

func (b *shardHistoryBuilder) addTakeover(r *Record) {
	takeover := Takeover{Range: r.Text(fieldRange), PreviousOwner: r.Text(fieldFrom), NewOwner: r.Text(fieldTo), From: r.At, Until: r.At}
	if noticed, found := b.lossNoticed[r.Instance+" "+takeover.PreviousOwner]; found {
		takeover.From = noticed
	}
	history := b.history(r)
	history.Takeovers = append(history.Takeovers, takeover)
}
