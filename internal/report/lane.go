package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// Lane is the history of one shard.
type Lane struct {
	Shard   string   `json:"shard"`
	Tenures []Tenure `json:"tenures"`
	Pauses  []Pause  `json:"pauses"`
	Missing []Orphan `json:"missing_owners"`
}

// Tenure is a time in which an instance granted the ranges of a shard.
type Tenure struct {
	Holder string    `json:"holder"`
	Token  string    `json:"token"`
	From   time.Time `json:"from"`
	Until  time.Time `json:"until"`
	// Cut reports that no record tells the end: Until is the last record of the holder.
	Cut bool `json:"cut"`
}

// Pause is the time from the first sign that the owner of a range was lost to
// the takeover by a standby. The range is unserved for a part of it: until its
// grant has expired the owner may have served it.
type Pause struct {
	Range string    `json:"range"`
	Lost  string    `json:"lost"`
	Next  string    `json:"next"`
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
}

// Orphan is a range of which neither owner nor standby answered.
type Orphan struct {
	Range string    `json:"range"`
	At    time.Time `json:"at"`
}

// newLanes returns the histories of all shards, ordered by name.
func newLanes(j *Journal) []Lane {
	b := laneBuilder{lanes: map[string]*Lane{}, silent: map[string]time.Time{}, last: map[string]time.Time{}}
	for _, r := range j.Records {
		b.add(r)
	}
	var lanes []Lane
	for _, lane := range slices.SortedFunc(maps.Values(b.lanes), func(a, b *Lane) int { return cmp.Compare(a.Shard, b.Shard) }) {
		lane.cut(b.last)
		lanes = append(lanes, *lane)
	}
	return lanes
}

type laneBuilder struct {
	lanes map[string]*Lane
	// silent is when a holder noticed the loss of a server, by holder and server.
	silent map[string]time.Time
	// last is the time of the last record of each instance.
	last map[string]time.Time
}

func (b *laneBuilder) lane(r *Record) *Lane {
	shard := r.Text(fieldShard)
	if b.lanes[shard] == nil {
		b.lanes[shard] = &Lane{Shard: shard}
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
		lane.Missing = append(lane.Missing, Orphan{Range: r.Text(fieldRange), At: r.At})
	}
}

func (b *laneBuilder) replaced(r *Record) {
	p := Pause{Range: r.Text(fieldRange), Lost: r.Text(fieldFrom), Next: r.Text(fieldTo), From: r.At, Until: r.At}
	if noticed, found := b.silent[r.Instance+" "+p.Lost]; found {
		p.From = noticed
	}
	lane := b.lane(r)
	lane.Pauses = append(lane.Pauses, p)
}

// end ends the latest tenure of the holder that has none.
func (l *Lane) end(r *Record) {
	for n := range slices.Backward(l.Tenures) {
		if t := &l.Tenures[n]; t.Holder == r.Instance && t.Until.IsZero() {
			t.Until = r.At
			return
		}
	}
}

// cut ends the tenures of which no record tells the end with the last record of
// their holder, or with the begin of a later tenure of the same holder.
func (l *Lane) cut(last map[string]time.Time) {
	for n := range l.Tenures {
		t := &l.Tenures[n]
		if !t.Until.IsZero() {
			continue
		}
		t.Cut = true
		t.Until = last[t.Holder]
		for _, later := range l.Tenures[n+1:] {
			if later.Holder == t.Holder {
				t.Until = later.From
				break
			}
		}
	}
}
