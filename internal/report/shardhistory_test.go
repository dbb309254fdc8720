package report

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/events"
)

// Guards against a tenure that extends past the last record of its holder, and against a
// takeover that does not start when the loss of the server was noticed.
func TestShardHistories(t *testing.T) {
	is := is.New(t)
	b := &builder{}
	at := func(n int) time.Time { return testStart.Add(time.Duration(n) * time.Millisecond) }
	b.add("a", events.GrantsBegun, fieldShard, "bosho/0", fieldToken, "1.1")                                   // 0
	b.add("a", events.ServerSilent, fieldShard, "bosho/0", fieldServer, "s1")                                  // 1
	b.add("b", events.InstanceStarted)                                                                         // 2
	b.add("a", events.OwnerReplaced, fieldShard, "bosho/0", fieldRange, "0-1", fieldFrom, "s1", fieldTo, "s2") // 3, killed
	b.add("b", events.GrantsBegun, fieldShard, "bosho/0", fieldToken, "1.2")                                   // 4
	b.add("b", events.OwnerMissing, fieldShard, "bosho/0", fieldRange, "0-1")                                  // 5
	b.add("b", events.GrantsEnded, fieldShard, "bosho/0", fieldToken, "1.2")                                   // 6
	b.add("b", events.GrantsBegun, fieldShard, "bosho/0", fieldToken, "1.3")                                   // 7, not ended
	b.add("b", events.GrantsBegun, fieldShard, "bosho/0", fieldToken, "1.4")                                   // 8
	b.add("b", events.GrantsEnded, fieldShard, "bosho/0", fieldToken, "1.4")                                   // 9
	histories := newShardHistories(b.journal())
	is.Equal(histories, []ShardHistory{{
		Shard: "bosho/0",
		Tenures: []Tenure{
			{Holder: "a", Token: "1.1", From: at(0), Until: at(3), EndMissing: true},
			{Holder: "b", Token: "1.2", From: at(4), Until: at(6)},
			{Holder: "b", Token: "1.3", From: at(7), Until: at(8), EndMissing: true},
			{Holder: "b", Token: "1.4", From: at(8), Until: at(9)},
		},
		Takeovers:     []Takeover{{Range: "0-1", PreviousOwner: "s1", NewOwner: "s2", From: at(1), Until: at(3)}},
		MissingOwners: []MissingOwner{{Range: "0-1", At: at(5)}},
	}})
}

// Guards against a failure domain that is listed twice or omitted.
func TestOverviewListsEachChangedDomainOnce(t *testing.T) {
	is := is.New(t)
	b := &builder{}
	for _, domain := range []string{"kyu-naka", "kyu-kita", "kyu-naka"} {
		b.add("a", events.ServerStateChanged, fieldServer, "s-"+domain, fieldServerDomain, domain, fieldOut, true)
	}
	overview := NewOverview(b.journal(), Window{})
	is.Equal(len(overview.Domains), 2)
	is.Equal(overview.Domains[0].Name, "kyu-kita")
	is.Equal(overview.Domains[1].Name, "kyu-naka")
}

// Guards against a timeline with more buckets than maxBuckets, and against requests that
// fall outside of it.
func TestBucketWidth(t *testing.T) {
	is := is.New(t)
	for span := time.Millisecond; span < 20*365*24*time.Hour; span = span*3/2 + 1 {
		width := bucketWidth(span)
		is.True(span/width < maxBuckets)
	}
	is.Equal(bucketWidth(15*time.Second), 250*time.Millisecond)
}
