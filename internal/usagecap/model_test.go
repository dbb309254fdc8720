package usagecap

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

const (
	modelStep = 50 * time.Millisecond
	// modelLease is how long a holder goes on with its whole share after it was cut off, and
	// before a successor is elected.
	modelLease = 2 * time.Second
	modelTeam  = "team"
	// maxNoticeDelay is how long a holder may take to notice that a link has ended.
	maxNoticeDelay = time.Second
)

var modelStart = time.Unix(100000, 0)

// modelHolder is a holder of the model.
type modelHolder struct {
	ledger *Ledger
	// joinedAt holds the instances that follow the holder, and since when.
	joinedAt map[int]time.Time
	// noticeAt holds when the holder notices that the links of instances have ended.
	noticeAt map[int]time.Time
	// othersUntil is when another holder acted last.
	othersUntil time.Time
	// first is set for a holder without a predecessor.
	first bool
	// withoutStoreSince is when the holder was cut off from the store, or the zero time.
	withoutStoreSince time.Time
	config            *modelConfig
}

// modelConfig is what one process knows of the caps.
type modelConfig struct {
	limit   fleet.Cap
	pending []pendingCap
}

// pendingCap is a cap that a process learns of at a time.
type pendingCap struct {
	limit fleet.Cap
	at    time.Time
}

// update reports whether the cap has changed.
func (c *modelConfig) update(now time.Time) bool {
	changed := false
	for len(c.pending) > 0 && !now.Before(c.pending[0].at) {
		c.limit, changed = c.pending[0].limit, true
		c.pending = c.pending[1:]
	}
	return changed
}

// modelInstance is an instance of the model.
type modelInstance struct {
	name      string
	bucket    LocalBucket
	holder    *modelHolder
	cutUntil  time.Time
	fleetSize int
	config    *modelConfig
	// weight is the instance's part of the demand.
	weight float64
}

// modelFleet is a fleet whose instances and holders fail while callers send requests.
type modelFleet struct {
	random    *rand.Rand
	now       time.Time
	instances []*modelInstance
	holders   []*modelHolder
	caps      []pendingCap
	// runs holds the requests run in each step, and refused those refused.
	runs, refused []int
	number        uint64
	restarts      int
	restartedAt   []time.Time
	electAt       time.Time
	// slowRatio is the part of the requests to which the holder does not answer in time.
	slowRatio float64
}

func newModelFleet(random *rand.Rand, size int, limit fleet.Cap) *modelFleet {
	f := &modelFleet{random: random, now: modelStart, caps: []pendingCap{{limit: limit, at: modelStart}}}
	for i := range size {
		f.instances = append(f.instances, &modelInstance{name: fmt.Sprint(i, "/0"), config: &modelConfig{limit: limit}, weight: 1})
	}
	f.elect(true)
	return f
}

func teamsOf(limit fleet.Cap) map[string]*fleet.Team {
	return map[string]*fleet.Team{modelTeam: {Name: modelTeam, Cap: limit}}
}

// elect makes a new holder, which all reachable instances join over the next second.
func (f *modelFleet) elect(first bool) {
	latest := f.caps[len(f.caps)-1].limit
	h := &modelHolder{
		ledger: NewLedger(f.now), joinedAt: map[int]time.Time{}, noticeAt: map[int]time.Time{}, othersUntil: f.now, first: first,
		config: &modelConfig{limit: latest},
	}
	if !first {
		h.ledger.Succeed(f.now)
	}
	h.ledger.SetTeams(f.now, teamsOf(latest))
	f.holders = append(f.holders, h)
}

func (f *modelFleet) current() *modelHolder {
	if len(f.holders) == 0 {
		return nil
	}
	return f.holders[len(f.holders)-1]
}

// share is holder.Coordinator.capShare, where all instances are in the record.
func (h *modelHolder) share(now time.Time, size int) float64 {
	joined := max(1/float64(size+1), float64(len(h.joinedAt))/float64(size))
	switch {
	case !h.withoutStoreSince.IsZero() && now.Sub(h.withoutStoreSince) >= modelLease:
		return joined
	case h.first || now.Sub(h.othersUntil) >= NewHolderDelay:
		return 1
	}
	return joined
}

func (f *modelFleet) disconnect(i int, noticed bool) {
	in := f.instances[i]
	if in.holder == nil {
		return
	}
	at := f.now
	if !noticed {
		at = f.now.Add(time.Duration(f.random.Int64N(int64(maxNoticeDelay))))
	}
	in.holder.noticeAt[i] = at
	in.holder = nil
}

// step runs one step with the given demand in requests/s.
func (f *modelFleet) step(demand float64) {
	f.now = f.now.Add(modelStep)
	if !f.electAt.IsZero() && !f.now.Before(f.electAt) {
		f.electAt = time.Time{}
		f.elect(false)
	}
	kept := f.holders[:0]
	for _, h := range f.holders {
		if !h.withoutStoreSince.IsZero() && f.now.Sub(h.withoutStoreSince) > 15*time.Second {
			for i, in := range f.instances {
				if in.holder == h {
					f.disconnect(i, true)
				}
			}
			continue
		}
		kept = append(kept, h)
	}
	f.holders = kept
	for _, h := range f.holders {
		for i, at := range h.noticeAt {
			if !f.now.Before(at) {
				delete(h.noticeAt, i)
				if f.instances[i].holder != h {
					delete(h.joinedAt, i)
					h.ledger.Lose(f.now, f.instances[i].name)
				}
			}
		}
		if len(f.holders) > 1 {
			h.othersUntil = f.now
		}
		if h.config.update(f.now) {
			h.ledger.SetTeams(f.now, teamsOf(h.config.limit))
		}
		h.ledger.SetInstances(len(f.instances))
		h.ledger.SetShare(f.now, h.share(f.now, len(f.instances)))
	}
	total := 0.0
	for i, in := range f.instances {
		in.config.update(f.now)
		total += in.weight
		current := f.current()
		if in.holder == nil && current != nil && current.withoutStoreSince.IsZero() && !f.now.Before(in.cutUntil) && f.random.IntN(6) == 0 {
			in.holder = current
			delete(current.noticeAt, i)
			if _, joined := current.joinedAt[i]; !joined {
				current.joinedAt[i] = f.now
			}
			current.ledger.Rejoin(f.now, in.name)
			current.ledger.Inherit(f.now, in.name, map[string]Holding{modelTeam: in.bucket.Holding(f.now, in.config.limit)})
		}
	}
	runs, refused := 0, 0
	for _, in := range f.instances {
		mean := demand * modelStep.Seconds() * in.weight / total
		for range f.poisson(mean) {
			if f.request(in) {
				runs++
			} else {
				refused++
			}
		}
	}
	f.runs, f.refused = append(f.runs, runs), append(f.refused, refused)
}

func (f *modelFleet) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := f.random.Float64(); u > p && n < 10000; n++ {
		u *= f.random.Float64()
	}
	return n
}

// request reports whether a request at the instance has run.
func (f *modelFleet) request(in *modelInstance) bool {
	h := in.holder
	// An instance does without a holder that does not answer in time, but its link goes on.
	if h == nil || f.random.Float64() < f.slowRatio {
		bucket, admitted := in.bucket.Take(f.now, in.config.limit, in.fleetSize, f.random.Float64())
		in.bucket = bucket
		if admitted && h != nil {
			h.ledger.Charge(f.now, modelTeam)
		}
		return admitted
	}
	f.number++
	in.fleetSize = len(h.joinedAt)
	r := Request{Instance: in.name, Number: f.number}
	_, admitted := h.ledger.Reserve(f.now, r, modelTeam, false)
	if !admitted {
		in.bucket = in.bucket.Tell(f.now, h.ledger.Allowance(modelTeam, in.name))
		return false
	}
	in.bucket = in.bucket.Tell(f.now, h.ledger.Take(f.now, r, f.now.Add(time.Second)))
	h.ledger.Complete(f.now, r, true)
	return true
}

// killHolder ends the current holder.
func (f *modelFleet) killHolder(proven bool) {
	h := f.current()
	if h == nil || !f.electAt.IsZero() {
		return
	}
	for _, in := range f.instances {
		if in.holder == h {
			in.holder = nil
		}
	}
	f.holders = f.holders[:len(f.holders)-1]
	f.electAt = f.now.Add(modelLease)
	if proven {
		f.electAt = f.now.Add(500 * time.Millisecond)
	}
}

// cutHolder cuts the current holder off from the store, with the given instances, unless
// there is one cut off already: the parts are exact for two holders.
func (f *modelFleet) cutHolder(with int) {
	h := f.current()
	if h == nil || len(f.holders) > 1 || !h.withoutStoreSince.IsZero() || !f.electAt.IsZero() {
		return
	}
	h.withoutStoreSince = f.now
	for i := range f.instances {
		if i >= with && f.instances[i].holder == h {
			f.disconnect(i, false)
		}
	}
	f.electAt = f.now.Add(modelLease)
}

// restart replaces the process of an instance, unless a third of the fleet has just been
// restarted: a holder cannot know the part of an instance that is cut off if most of those
// that join it have lost their own.
func (f *modelFleet) restart(i int) {
	f.restartedAt = slices.DeleteFunc(f.restartedAt, func(at time.Time) bool { return f.now.Sub(at) > NewHolderDelay })
	if 3*(len(f.restartedAt)+1) > len(f.instances) {
		return
	}
	f.restartedAt = append(f.restartedAt, f.now)
	in := f.instances[i]
	f.disconnect(i, true)
	for _, h := range f.holders {
		delete(h.joinedAt, i)
		delete(h.noticeAt, i)
		h.ledger.Lose(f.now, in.name)
	}
	f.restarts++
	latest := f.caps[len(f.caps)-1].limit
	*in = modelInstance{name: fmt.Sprint(i, "/", f.restarts), config: &modelConfig{limit: latest}, weight: in.weight, cutUntil: f.now.Add(300 * time.Millisecond)}
}

func (f *modelFleet) changeCap(limit fleet.Cap) {
	f.caps = append(f.caps, pendingCap{limit, f.now})
	learn := func(c *modelConfig) {
		at := f.now.Add(time.Duration(f.random.Int64N(int64(2500 * time.Millisecond))))
		if n := len(c.pending); n > 0 && at.Before(c.pending[n-1].at) {
			at = c.pending[n-1].at
		}
		c.pending = append(c.pending, pendingCap{limit, at})
	}
	for _, h := range f.holders {
		learn(h.config)
	}
	for _, in := range f.instances {
		learn(in.config)
	}
}

// bound returns how many requests may run in the window that ends at the given time: a
// lowered cap binds one window after 2.5 s.
func (f *modelFleet) bound(end time.Time) float64 {
	most := 0.0
	for i, c := range f.caps {
		if i+1 < len(f.caps) && end.Sub(f.caps[i+1].at) > window+2500*time.Millisecond {
			continue
		}
		most = max(most, (c.limit.Rate*window.Seconds()+max(1, c.limit.Burst))*1.1+20)
	}
	return most
}

// worst returns the largest excess over the bound of a window, as a ratio.
func (f *modelFleet) worst() (ratio float64, at time.Time, sum int) {
	steps := int(window / modelStep)
	n := 0
	for i, runs := range f.runs {
		n += runs
		if i >= steps {
			n -= f.runs[i-steps]
		}
		end := modelStart.Add(time.Duration(i+1) * modelStep)
		if r := float64(n) / f.bound(end); r > ratio {
			ratio, at, sum = r, end, n
		}
	}
	return ratio, at, sum
}

var modelCaps = []fleet.Cap{{Rate: 1, Burst: 1}, {Rate: 5, Burst: 5}, {Rate: 20, Burst: 2}, {Rate: 50, Burst: 50}, {Rate: 392, Burst: 392}, {Rate: 10, Burst: 200}, {Rate: 100, Burst: 600}}

// Guards against a team that gets more than its cap while instances are cut off, restart and
// come back, a holder is replaced or cut off beside its successor, and the cap changes.
func TestCapHoldsInEveryWindowOfFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 10, 30, 80}).Draw(t, "instances")
		limit := rapid.SampledFrom(modelCaps).Draw(t, "cap")
		f := newModelFleet(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), size, limit)
		f.slowRatio = rapid.SampledFrom([]float64{0, 0.02, 0.5}).Draw(t, "slow")
		for range 100 { // until the holder knows where the requests arrive
			f.step(limit.Rate)
		}
		load := 4.0
		for range rapid.IntRange(3, 12).Draw(t, "events") {
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				f.step(load * limit.Rate)
			}
			i := rapid.IntRange(0, size-1).Draw(t, "instance")
			switch rapid.SampledFrom([]string{"cut", "cut many", "restart", "restart many", "kill", "kill proven", "cut holder", "cap", "load", "skew", "reset"}).Draw(t, "event") {
			case "cut":
				f.disconnect(i, false)
				f.instances[i].cutUntil = f.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "s")) * time.Second)
			case "cut many":
				for j := range i {
					f.disconnect(j, false)
					f.instances[j].cutUntil = f.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "s")) * time.Second)
				}
			case "restart":
				f.restart(i)
			case "restart many":
				for j := range i {
					f.restart(j)
				}
			case "kill":
				f.killHolder(false)
			case "kill proven":
				f.killHolder(true)
			case "cut holder":
				f.cutHolder(i)
			case "cap":
				limit = rapid.SampledFrom(modelCaps).Draw(t, "new cap")
				f.changeCap(limit)
			case "load":
				load = rapid.SampledFrom([]float64{0, 0.5, 1, 4, 20}).Draw(t, "load")
			case "skew":
				for j, in := range f.instances {
					in.weight = 1
					if j <= i {
						in.weight = 4
					}
				}
			case "reset":
				f.disconnect(i, true)
			}
		}
		for range 100 {
			f.step(load * limit.Rate)
		}
		if ratio, at, sum := f.worst(); ratio > 1 {
			t.Fatalf("%d requests in the window that ends %v after the start, of %.1f allowed", sum, at.Sub(modelStart), f.bound(at))
		}
	})
}

// Guards against refusals of a team that stays well below its cap. Without a holder, the
// instances of a large fleet have less than one token each of a small cap.
func TestTeamBelowItsCapIsServed(t *testing.T) {
	for _, tc := range []struct {
		limit      fleet.Cap
		size       int
		maxRefused float64 // during the 15 s around the loss of a holder, as a ratio
	}{
		{fleet.Cap{Rate: 10, Burst: 10}, 10, 0.05},
		{fleet.Cap{Rate: 10, Burst: 10}, 73, 0.15},
		{fleet.Cap{Rate: 50, Burst: 50}, 10, 0.01},
		{fleet.Cap{Rate: 50, Burst: 50}, 73, 0.08},
		{fleet.Cap{Rate: 392, Burst: 392}, 10, 0.005},
		{fleet.Cap{Rate: 392, Burst: 392}, 73, 0.01},
	} {
		t.Run(fmt.Sprint(tc.limit, tc.size), func(t *testing.T) {
			refusedRatio := func(f *modelFleet, d time.Duration) float64 {
				from := len(f.runs)
				for range int(d / modelStep) {
					f.step(tc.limit.Rate * 0.4)
				}
				ran, refused := 0, 0
				for i := from; i < len(f.runs); i++ {
					ran, refused = ran+f.runs[i], refused+f.refused[i]
				}
				return float64(refused) / float64(ran+refused)
			}
			for _, proven := range []bool{true, false} {
				sum := 0.0
				const runs = 20
				for seed := range uint64(runs) {
					f := newModelFleet(rand.New(rand.NewPCG(seed, 2)), tc.size, tc.limit)
					refusedRatio(f, 20*time.Second)
					if r := refusedRatio(f, 30*time.Second); r > 0 {
						t.Errorf("%.4f refused in calm", r)
					}
					f.killHolder(proven)
					sum += refusedRatio(f, 15*time.Second)
				}
				t.Logf("end of the holder proven: %v, refused: %.4f", proven, sum/runs)
				if sum/runs > tc.maxRefused {
					t.Errorf("%.4f refused around the loss of the holder", sum/runs)
				}
			}
		})
	}
}
