package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/hotkey"
	"peridotmoor.org/peridotmoor/internal/key"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bench is a shard whose plans take effect at once.
type bench struct {
	planner *Planner
	sketch  *hotkey.Sketch
	in      Input
	// share returns the load of a range.
	load func(Range) float64
}

func newBench(servers int) *bench {
	b := &bench{planner: NewPlanner(), load: widthLoad}
	b.in = Input{Interval: key.Range{}, Settings: DefaultSettings(), Now: start, Random: rand.New(rand.NewPCG(7, 7))}
	for i := range servers {
		b.in.Servers = append(b.in.Servers, Server{Name: fmt.Sprintf("s%03d", i), Domain: fmt.Sprintf("d%d", i%3)})
	}
	b.step(0)
	return b
}

// widthLoad spreads 1000 requests/s evenly over the hash space.
func widthLoad(r Range) float64 {
	return 1000 * float64(uint64(r.Bounds.Last()-r.Bounds.Start)) / (1 << 63) / 2
}

// step plans after the given time and puts the plan into effect.
func (b *bench) step(after time.Duration) Plan {
	b.in.Now = b.in.Now.Add(after)
	b.in.Loads = make([]float64, len(b.in.Current.Ranges))
	for i, r := range b.in.Current.Ranges {
		b.in.Loads[i] = b.load(r)
	}
	plan := b.planner.Plan(b.in)
	b.in.Current = plan.Next
	return plan
}

// run plans every half second for the given time and returns all moves.
func (b *bench) run(d time.Duration) []Move {
	var moves []Move
	for range d / (500 * time.Millisecond) {
		moves = append(moves, b.step(500*time.Millisecond).Moves...)
	}
	return moves
}

func (b *bench) rangesOf(server string) int {
	count := 0
	for _, r := range b.in.Current.Ranges {
		if r.Owner == server {
			count++
		}
	}
	return count
}

func (b *bench) loadOf(server string) float64 {
	load := 0.0
	for _, r := range b.in.Current.Ranges {
		if r.Owner == server {
			load += b.load(r)
		}
	}
	return load
}

// Guards against changes without a cause: each move costs requests a wait.
func TestEvenShardIsLeftAlone(t *testing.T) {
	b := newBench(9)
	is.New(t).Equal(len(b.in.Current.Ranges), 72)
	for range 200 {
		is.New(t).True(b.step(time.Second).IsEmpty())
	}
}

// Guards against moves on a short burst, and against more moves than max_moves.
func TestOverloadIsRelievedSlowly(t *testing.T) {
	is := is.New(t)
	b := newBench(9)
	heavy := b.in.Current.Ranges[0].Owner
	owned := map[key.Hash]bool{}
	for _, r := range b.in.Current.Ranges {
		owned[r.Bounds.Start] = r.Owner == heavy
	}
	b.load = func(r Range) float64 {
		if owned[r.Bounds.Start] {
			return 2 * widthLoad(r)
		}
		return widthLoad(r)
	}
	is.Equal(len(b.run(9*time.Second)), 0) // shorter than the hysteresis
	moves := b.run(4 * time.Second)
	is.True(len(moves) > 0 && len(moves) <= 4*DefaultSettings().MaxMovesPerSecond)
	b.run(30 * time.Second)
	is.True(b.loadOf(heavy) < 1.2*8*1000/72+1000/72*2) // within the tolerated overload and one range
}

// Moves off servers that are out are not bounded, and go to committed standbys.
func TestDomainOutMovesAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(9)
	before := b.in.Current
	for i := range b.in.Servers {
		if b.in.Servers[i].Domain == "d1" {
			b.in.Servers[i].State = OutOfService
		}
	}
	plan := b.step(time.Second)
	is.Equal(len(plan.Moves), 24)
	for _, m := range plan.Moves {
		is.True(m.Urgent && m.Reason == ReasonServerOut)
		for _, r := range before.Ranges {
			is.True(r.Bounds != m.Bounds || r.HasStandby(m.To))
		}
	}
	for i := range b.in.Servers {
		is.Equal(b.rangesOf(b.in.Servers[i].Name) == 0, b.in.Servers[i].State == OutOfService)
	}
}

// A cold server gets one range, and the next only when its ramp has completed.
func TestColdServerIsFilledOneRangeAtATime(t *testing.T) {
	is := is.New(t)
	b := newBench(9)
	b.in.Servers = append(b.in.Servers, Server{Name: "cold", Domain: "d0", State: Cold})
	b.run(60 * time.Second)
	is.Equal(b.rangesOf("cold"), 1)
	b.in.Servers[9].State = InService
	b.run(60 * time.Second)
	is.True(b.rangesOf("cold") > 4)
}

// A hot key gets its own range at once and loses it after the cooldown.
func TestHotKeyIsSplitAndMerged(t *testing.T) {
	is := is.New(t)
	b := newBench(9)
	hot := HotKey{Hash: 12345678, Rate: 50}
	b.in.HotKeys = []HotKey{hot}
	plan := b.step(time.Second)
	is.Equal(len(plan.Splits), 1)
	i := newDraft(b.in).findRange(hot.Hash)
	is.Equal(b.in.Current.Ranges[i].Bounds, key.Single(hot.Hash))
	b.in.HotKeys = nil
	b.run(119 * time.Second)
	i = newDraft(b.in).findRange(hot.Hash)
	is.True(b.in.Current.Ranges[i].Bounds.IsSingle()) // the cooldown has not ended
	b.run(3 * time.Second)
	i = newDraft(b.in).findRange(hot.Hash)
	is.True(!b.in.Current.Ranges[i].Bounds.IsSingle())
}

// One slow server is relieved; when half of its domain is slow nothing moves.
func TestSlowServers(t *testing.T) {
	for _, test := range []struct {
		slow  []int
		moves bool
	}{
		{[]int{0}, true},
		{[]int{0, 3}, false}, // 2 of the 3 servers of d0
		{[]int{0, 1}, true},
	} {
		b := newBench(9)
		for _, i := range test.slow {
			b.in.Servers[i].Slow = true
		}
		moves := b.run(2 * time.Second)
		is.New(t).Equal(len(moves) > 0, test.moves) // test.slow
	}
}

// Guards against flags for momentary stalls.
func TestSlowDetector(t *testing.T) {
	is := is.New(t)
	var d SlowDetector
	latencies := map[string]time.Duration{"a": 10, "b": 11, "c": 34, "new": 0}
	is.Equal(len(d.Flag(latencies, start)), 0)
	is.Equal(len(d.Flag(latencies, start.Add(1900*time.Millisecond))), 0)
	is.Equal(d.Flag(latencies, start.Add(2*time.Second)), map[string]bool{"c": true})
	latencies["c"] = 20
	is.Equal(len(d.Flag(latencies, start.Add(3*time.Second))), 0)
}

// Guards against an assignment that changes when it is stored and read.
func TestCodec(t *testing.T) {
	is := is.New(t)
	b := newBench(9)
	b.in.Current.Ranges[3].SecondStandby = ""
	data, err := b.in.Current.MarshalJSON()
	is.NoErr(err)
	is.True(len(data) < 72*64) // bytes per range of the design page
	var read Assignment
	is.NoErr(read.UnmarshalJSON(data))
	is.True(read.Equal(b.in.Current))
	is.NoErr(read.Validate(b.in.Interval))
	for _, bad := range []string{`{"ranges":[{"s":"x","o":[1,0,0]}]}`, `{"ranges":[{"s":"0","o":[1,0,0]}],"end":"0"}`, `[`} {
		is.True(read.UnmarshalJSON([]byte(bad)) != nil) // bad
	}
	is.True(read.Equal(b.in.Current)) // bad input changed nothing
}

// Guards against moves to a server that does not answer but is not lost yet.
func TestSilentServerGetsNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(9)
	r := b.in.Current.Ranges[0]
	for i := range b.in.Servers {
		b.in.Servers[i].Unresponsive = b.in.Servers[i].Name == r.FirstStandby
		if b.in.Servers[i].Name == r.Owner {
			b.in.Servers[i].State = Leaving
		}
	}
	b.step(time.Second)
	is.Equal(b.in.Current.Ranges[0].Owner, r.SecondStandby)
	for _, m := range b.run(30 * time.Second) {
		is.True(m.To != r.FirstStandby)
	}
}
