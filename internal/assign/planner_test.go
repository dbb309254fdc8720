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

// simulation is a shard whose plans take effect immediately.
type simulation struct {
	planner *Planner
	sketch  *hotkey.Sketch
	in      Input
	// load returns the load of a range.
	load func(Range) float64
}

func newSimulation(servers int) *simulation {
	sim := &simulation{planner: NewPlanner(), load: widthLoad}
	sim.in = Input{Interval: key.Range{}, Settings: DefaultSettings(), Now: start, Random: rand.New(rand.NewPCG(7, 7))}
	for i := range servers {
		sim.in.Servers = append(sim.in.Servers, Server{Name: fmt.Sprintf("s%03d", i), Domain: fmt.Sprintf("d%d", i%3)})
	}
	sim.step(0)
	return sim
}

// widthLoad distributes 1000 requests/s evenly over the hash space.
func widthLoad(r Range) float64 {
	return 1000 * float64(uint64(r.Bounds.Last()-r.Bounds.Start)) / (1 << 63) / 2
}

// step plans after the given time and applies the plan.
func (sim *simulation) step(after time.Duration) Plan {
	sim.in.Now = sim.in.Now.Add(after)
	sim.in.Loads = make([]float64, len(sim.in.Current.Ranges))
	for i, r := range sim.in.Current.Ranges {
		sim.in.Loads[i] = sim.load(r)
	}
	plan := sim.planner.Plan(sim.in)
	sim.in.Current = plan.Next
	return plan
}

// run plans every half second for the given time and returns all moves.
func (sim *simulation) run(d time.Duration) []Move {
	var moves []Move
	for range d / (500 * time.Millisecond) {
		moves = append(moves, sim.step(500*time.Millisecond).Moves...)
	}
	return moves
}

func (sim *simulation) rangesOf(server string) int {
	count := 0
	for _, r := range sim.in.Current.Ranges {
		if r.Owner == server {
			count++
		}
	}
	return count
}

func (sim *simulation) loadOf(server string) float64 {
	load := 0.0
	for _, r := range sim.in.Current.Ranges {
		if r.Owner == server {
			load += sim.load(r)
		}
	}
	return load
}

// Guards against changes to a balanced shard: each move makes requests wait.
func TestEvenShardIsLeftAlone(t *testing.T) {
	sim := newSimulation(9)
	is.New(t).Equal(len(sim.in.Current.Ranges), 72)
	for range 200 {
		is.New(t).True(sim.step(time.Second).IsEmpty())
	}
}

// Guards against moves caused by a short burst, and against more moves than the
// setting max_moves allows.
func TestOverloadIsRelievedSlowly(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	heavy := sim.in.Current.Ranges[0].Owner
	owned := map[key.Hash]bool{}
	for _, r := range sim.in.Current.Ranges {
		owned[r.Bounds.Start] = r.Owner == heavy
	}
	sim.load = func(r Range) float64 {
		if owned[r.Bounds.Start] {
			return 2 * widthLoad(r)
		}
		return widthLoad(r)
	}
	is.Equal(len(sim.run(9*time.Second)), 0) // shorter than OverloadDuration
	moves := sim.run(4 * time.Second)
	is.True(len(moves) > 0 && len(moves) <= 4*DefaultSettings().MaxMovesPerSecond)
	sim.run(30 * time.Second)
	is.True(sim.loadOf(heavy) < 1.2*8*1000/72+1000/72*2) // at most the tolerated overload and one range
}

// Guards against a limit on moves off servers that are out of service, and
// against targets that are not committed standbys.
func TestDomainOutMovesAtOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	before := sim.in.Current
	for i := range sim.in.Servers {
		if sim.in.Servers[i].Domain == "d1" {
			sim.in.Servers[i].State = OutOfService
		}
	}
	plan := sim.step(time.Second)
	is.Equal(len(plan.Moves), 24)
	for _, m := range plan.Moves {
		is.True(m.Urgent && m.Reason == ReasonServerOut)
		for _, r := range before.Ranges {
			is.True(r.Bounds != m.Bounds || r.HasStandby(m.To))
		}
	}
	for i := range sim.in.Servers {
		is.Equal(sim.rangesOf(sim.in.Servers[i].Name) == 0, sim.in.Servers[i].State == OutOfService)
	}
}

// Guards against a second range for a cold server before its slow start has
// completed.
func TestColdServerIsFilledOneRangeAtATime(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	sim.in.Servers = append(sim.in.Servers, Server{Name: "cold", Domain: "d0", State: Cold})
	sim.run(60 * time.Second)
	is.Equal(sim.rangesOf("cold"), 1)
	sim.in.Servers[9].State = InService
	sim.run(60 * time.Second)
	is.True(sim.rangesOf("cold") > 4)
}

// Guards against a hot key that does not get its own range at once, and against
// a merge before the end of the cooldown or none after it.
func TestHotKeyIsSplitAndMerged(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	hot := HotKey{Hash: 12345678, Rate: 50}
	sim.in.HotKeys = []HotKey{hot}
	plan := sim.step(time.Second)
	is.Equal(len(plan.Splits), 1)
	i := newDraft(sim.in).findRange(hot.Hash)
	is.Equal(sim.in.Current.Ranges[i].Bounds, key.Single(hot.Hash))
	sim.in.HotKeys = nil
	sim.run(119 * time.Second)
	i = newDraft(sim.in).findRange(hot.Hash)
	is.True(sim.in.Current.Ranges[i].Bounds.IsSingle()) // the cooldown has not ended
	sim.run(3 * time.Second)
	i = newDraft(sim.in).findRange(hot.Hash)
	is.True(!sim.in.Current.Ranges[i].Bounds.IsSingle())
}

// Guards against a slow server that is not relieved, and against moves while
// half or more of a failure domain is slow.
func TestSlowServers(t *testing.T) {
	for _, test := range []struct {
		slow  []int
		moves bool
	}{
		{[]int{0}, true},
		{[]int{0, 3}, false}, // 2 of the 3 servers of d0
		{[]int{0, 1}, true},
	} {
		sim := newSimulation(9)
		for _, i := range test.slow {
			sim.in.Servers[i].Slow = true
		}
		moves := sim.run(2 * time.Second)
		is.New(t).Equal(len(moves) > 0, test.moves) // test.slow
	}
}

// Guards against servers that are reported as slow after a momentary stall.
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

// Guards against an assignment that changes when it is stored and read back.
func TestCodec(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	sim.in.Current.Ranges[3].SecondStandby = ""
	data, err := sim.in.Current.MarshalJSON()
	is.NoErr(err)
	is.True(len(data) < 72*64) // bytes per range given on the design page
	var read Assignment
	is.NoErr(read.UnmarshalJSON(data))
	is.True(read.Equal(sim.in.Current))
	is.NoErr(read.Validate(sim.in.Interval))
	for _, bad := range []string{`{"ranges":[{"s":"x","o":[1,0,0]}]}`, `{"ranges":[{"s":"0","o":[1,0,0]}],"end":"0"}`, `[`} {
		is.True(read.UnmarshalJSON([]byte(bad)) != nil) // bad
	}
	is.True(read.Equal(sim.in.Current)) // bad input changed nothing
}

// Guards against moves to a server that does not answer but is not lost yet.
func TestUnresponsiveServerGetsNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9)
	r := sim.in.Current.Ranges[0]
	for i := range sim.in.Servers {
		sim.in.Servers[i].Unresponsive = sim.in.Servers[i].Name == r.FirstStandby
		if sim.in.Servers[i].Name == r.Owner {
			sim.in.Servers[i].State = Leaving
		}
	}
	sim.step(time.Second)
	is.Equal(sim.in.Current.Ranges[0].Owner, r.SecondStandby)
	for _, m := range sim.run(30 * time.Second) {
		is.True(m.To != r.FirstStandby)
	}
}
