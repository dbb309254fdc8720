package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/key"
	"pgregory.net/rapid"
)

var (
	t0   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	low  = key.Range{Start: 0, End: 100}
	high = key.Range{Start: 100, End: 0}
	tail = key.Range{Start: 1 << 63, End: 0}
)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an expiry that lets a grant outlive the tenure.
func TestExpiryEndsWithTenure(t *testing.T) {
	is := is.New(t)
	reading := ClockReading{ServerClock: time.Hour, ReceivedAt: at(0)}
	is.Equal(reading.Expiry(at(500)), time.Hour+500*time.Millisecond)
	is.Equal(reading.ExpiredBy(reading.Expiry(at(500))), at(505)) // with 1% drift
	is.Equal(reading.ExpiredBy(time.Minute), at(0))               // in the past
	is.True(reading.Fresh(at(600)) && !reading.Fresh(at(601)))
	is.True(!ClockReading{}.Fresh(at(0)))
}

// Guards against a range that is taken for free because a newer message was
// acknowledged, while an older one may still arrive.
func TestUnansweredMessageKeepsRange(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	_, ok := tracker.NextMessage([]key.Range{low}, at(500), at(0))
	is.True(!ok) // the server's clock is not known yet
	is.True(!tracker.RecordResponse(0, ClockReading{ServerClock: 9 * time.Hour, ReceivedAt: at(0)}, "a"))
	first, _ := tracker.NextMessage([]key.Range{low, high}, at(500), at(0))
	second, _ := tracker.NextMessage([]key.Range{low}, at(600), at(150))
	tracker.RecordResponse(second.Number, ClockReading{ServerClock: 9*time.Hour + 150*time.Millisecond, ReceivedAt: at(155)}, "a")
	is.True(tracker.HasGrant(low, at(160)) && !tracker.HasGrant(high, at(160)))
	is.Equal(tracker.FreeBy(tail), first.ExpiredBy) // revoked, but the first message may still arrive
	tracker.RecordResponse(first.Number, ClockReading{ServerClock: 9*time.Hour + 160*time.Millisecond, ReceivedAt: at(165)}, "a")
	is.True(tracker.HasGrant(high, at(170)))
}

// Guards against grants that outlive a restart of the server.
func TestRestartEndsGrants(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	tracker.RecordResponse(0, ClockReading{ServerClock: time.Hour, ReceivedAt: at(0)}, "a")
	acknowledged, _ := tracker.NextMessage([]key.Range{low}, at(500), at(0))
	tracker.RecordResponse(acknowledged.Number, ClockReading{ServerClock: time.Hour, ReceivedAt: at(0)}, "a")
	is.True(tracker.HasGrant(low, at(5)))
	tracker.NextMessage([]key.Range{low}, at(500), at(5))
	m, _ := tracker.NextMessage([]key.Range{low}, at(500), at(10))
	is.Equal(m.Incarnation, "a")
	is.True(tracker.RecordResponse(m.Number, ClockReading{ServerClock: 0, ReceivedAt: at(20)}, "b"))
	is.True(!tracker.HasGrant(low, at(30)))
	is.True(tracker.AllFreeBy().IsZero())
	is.Equal(tracker.Incarnation(), "b")
}

// Guards against ranges that stay blocked by a message that was never sent.
func TestCancel(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	tracker.RecordResponse(0, ClockReading{ServerClock: time.Hour, ReceivedAt: at(0)}, "a")
	m, _ := tracker.NextMessage([]key.Range{low}, at(500), at(0))
	is.Equal(tracker.FreeBy(low), m.ExpiredBy)
	tracker.Cancel(m.Number)
	is.True(tracker.FreeBy(low).IsZero())
}

// Compares the tracker with a simulated server that receives messages in any
// order, late or never. A range that the server owns must never be free for the
// tracker.
func TestTrackerAgainstNaiveServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		offset := time.Duration(rapid.IntRange(1, 1e6).Draw(t, "offset")) * time.Millisecond
		clock := func(now time.Time) time.Duration { return offset + now.Sub(t0) }
		var waiting []Message
		var owned Message
		now := at(0)
		tracker.RecordResponse(0, ClockReading{ServerClock: clock(now), ReceivedAt: now}, "a")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				start := key.Hash(rapid.IntRange(0, 9).Draw(t, "start"))
				list := []key.Range{{Start: start, End: start + key.Hash(rapid.IntRange(1, 5).Draw(t, "width"))}}
				if m, ok := tracker.NextMessage(list, now.Add(594*time.Millisecond), now); ok {
					waiting = append(waiting, m)
				}
			case 1:
				tracker.RecordResponse(0, ClockReading{ServerClock: clock(now), ReceivedAt: now}, "a")
			case 2:
				if len(waiting) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "message")
				owned = waiting[i]
				waiting = append(waiting[:i:i], waiting[i+1:]...)
				if rapid.Bool().Draw(t, "answered") {
					tracker.RecordResponse(owned.Number, ClockReading{ServerClock: clock(now), ReceivedAt: now}, "a")
				}
			}
			for h := key.Hash(0); h < 16 && clock(now) < owned.Expiry; h++ {
				free := !tracker.FreeBy(key.Single(h)).After(now)
				if owns := owned.Ranges[0].Contains(h); owns && free {
					t.Fatal(fmt.Sprintf("hash %d is owned by the server and free for the tracker", h))
				}
			}
		}
	})
}

// Guards against wrong results at the end of the hash space and across adjacent
// ranges.
func TestRangeLists(t *testing.T) {
	is := is.New(t)
	list := []key.Range{{Start: 10, End: 20}, {Start: 20, End: 30}, {Start: 1 << 63, End: 0}}
	is.True(covers(list, key.Range{Start: 12, End: 28}))
	is.True(!covers(list, key.Range{Start: 12, End: 31}))
	is.True(covers(list, tail) && !covers(list, high))
	is.True(overlaps(list, key.Range{Start: 29, End: 40}))
	is.True(!overlaps(list, key.Range{Start: 30, End: 40}))
	is.True(overlaps(list, key.Single(1<<64-1)))
	is.True(!overlaps(nil, low) && !covers(nil, low))
}
