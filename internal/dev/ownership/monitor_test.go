package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/key"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	shard = key.ShardID{Service: "bosho"}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// report is the ownership that a server reports to the monitor; times are in ms.
type report struct {
	server     string
	service    string
	first, end key.Hash
	now, until int
}

// Guards against a monitor that misses an overlap or reports one for a correct hand-over.
func TestOverlaps(t *testing.T) {
	cases := []struct {
		name    string
		reports []report
		want    int
	}{
		{"hand-over after expiry", []report{{"a", "s", 0, 10, 0, 100}, {"b", "s", 0, 10, 100, 200}}, 0},
		{"hand-over after release", []report{{"a", "s", 0, 10, 0, 100}, {"a", "s", 5, 10, 20, 120}, {"b", "s", 0, 5, 21, 121}}, 0},
		{"grant before expiry", []report{{"a", "s", 0, 10, 0, 100}, {"b", "s", 0, 10, 99, 200}}, 1},
		{"partial overlap", []report{{"a", "s", 0, 10, 0, 100}, {"b", "s", 9, 20, 50, 150}}, 1},
		{"neighbouring ranges", []report{{"a", "s", 0, 10, 0, 100}, {"b", "s", 10, 20, 50, 150}}, 0},
		{"range to the end of the space", []report{{"a", "s", 5, 0, 0, 100}, {"b", "s", ^key.Hash(0), 0, 50, 150}}, 1},
		{"other service", []report{{"a", "s", 0, 10, 0, 100}, {"b", "other", 0, 10, 50, 150}}, 0},
		{"renewal after the other's grant", []report{{"a", "s", 0, 10, 0, 100}, {"b", "s", 0, 10, 100, 200}, {"a", "s", 0, 10, 150, 250}}, 1},
		{"counted once over renewals", []report{{"a", "s", 0, 10, 0, 100}, {"b", "s", 0, 10, 50, 150}, {"a", "s", 0, 10, 60, 160}}, 1},
		{"late renewal grants nothing", []report{{"a", "s", 0, 10, 0, 100}, {"b", "s", 0, 10, 100, 200}, {"a", "s", 0, 10, 150, 140}}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMonitor()
			for _, g := range test.reports {
				shard := key.ShardID{Service: g.service}
				m.Set(shard, g.server, []key.Range{{Start: g.first, End: g.end}}, at(g.now), at(g.until))
			}
			is.Equal(len(m.Overlaps()), test.want)
		})
	}
}

func TestRenewalsExtendIntervals(t *testing.T) {
	is := is.New(t)
	m := NewMonitor()
	all := []key.Range{{}}
	m.Set(shard, "a", all, at(0), at(100))
	m.Set(shard, "a", all, at(90), at(190))
	m.Set(shard, "a", all, at(250), at(350))
	m.Set(shard, "a", nil, at(300), at(300))
	intervals, dropped := m.Intervals()
	is.Equal(dropped, 0)
	is.Equal(len(intervals), 2)
	is.Equal(intervals[0].From, at(0))
	is.Equal(intervals[0].Until, at(190))
	is.Equal(intervals[1].From, at(250))
	is.Equal(intervals[1].Until, at(300))
	is.Equal(LongestGap(intervals, "bosho", 7, at(-10), at(310)), 60*time.Millisecond)
}
