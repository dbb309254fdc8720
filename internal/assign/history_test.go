package assign

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Compares each plan with a naive recomputation: it finds the owners before and
// after by a search through the whole list, and checks which of the changes are
// allowed.
func TestPlansAgainstNaiveRecomputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(3, 12).Draw(t, "servers"))
		recent := map[time.Time]int{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			changeRandomly(t, sim)
			before := sim.in.Current
			plan := sim.step(time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms")) * time.Millisecond)
			for _, text := range append(naiveMoves(sim, before, plan), naiveStandbys(sim)...) {
				t.Error(text)
			}
			if err := plan.Next.Validate(sim.in.Interval); err != nil {
				t.Error(err)
			}
			recent[sim.in.Now] = boundedMoves(plan)
			if n := movesWithin(recent, sim.in.Now); n > sim.in.Settings.MaxMovesPerSecond {
				t.Errorf("%d bounded moves within a second", n)
			}
			if t.Failed() {
				return
			}
		}
	})
}

// changeRandomly changes the state or the speed of servers, the loads or the hot
// keys.
func changeRandomly(t *rapid.T, sim *simulation) {
	i := rapid.IntRange(0, len(sim.in.Servers)-1).Draw(t, "server")
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		sim.in.Servers[i].State = ServerState(rapid.IntRange(0, int(Lost)).Draw(t, "state"))
	case 1:
		sim.in.Servers[i].Slow = !sim.in.Servers[i].Slow
	case 2:
		for n := range sim.in.Servers {
			if sim.in.Servers[n].Domain == sim.in.Servers[i].Domain {
				sim.in.Servers[n].State = OutOfService
			}
		}
	case 3:
		h := sim.in.Current.Ranges[rapid.IntRange(0, len(sim.in.Current.Ranges)-1).Draw(t, "range")].Bounds.Start
		sim.in.HotKeys = []HotKey{{Hash: h + 77, Rate: 200}}
	default:
		factor := float64(rapid.IntRange(1, 9).Draw(t, "factor"))
		hot := sim.in.Servers[i].Name
		owners := sim.in.Current.Clone()
		sim.load = func(r Range) float64 {
			if naiveOwner(owners, r) == hot {
				return factor * widthLoad(r)
			}
			return widthLoad(r)
		}
	}
}

// naiveOwner returns the owner of the first hash of r.
func naiveOwner(a Assignment, r Range) string {
	for _, other := range a.Ranges {
		if other.Bounds.Contains(r.Bounds.Start) {
			return other.Owner
		}
	}
	return ""
}

// naiveMoves recomputes the moves of a plan. It returns the owners that may not
// own their ranges and the differences from the moves listed.
func naiveMoves(sim *simulation, before Assignment, plan Plan) []string {
	var problems []string
	state := map[string]ServerState{}
	usable := 0
	for _, s := range sim.in.Servers {
		state[s.Name] = s.State
		if s.State.Usable() {
			usable++
		}
	}
	listed := map[string]string{}
	for _, m := range plan.Moves {
		listed[m.Bounds.String()] = m.To
		if m.Urgent == state[m.From].Usable() {
			problems = append(problems, fmt.Sprintf("move off %s, which is %s, has urgent %v", m.From, state[m.From], m.Urgent))
		}
	}
	changes := 0
	for _, r := range plan.Next.Ranges {
		if usable > 0 && !state[r.Owner].Usable() {
			problems = append(problems, fmt.Sprintf("%s is owned by %s, which is %s", r.Bounds, r.Owner, state[r.Owner]))
		}
		if old := naiveOwner(before, r); old != r.Owner {
			changes++
			if listed[r.Bounds.String()] != r.Owner {
				problems = append(problems, fmt.Sprintf("%s changes from %s to %s without a move", r.Bounds, old, r.Owner))
			}
		}
	}
	if changes != len(plan.Moves) {
		problems = append(problems, fmt.Sprintf("%d moves are listed, %d owners change", len(plan.Moves), changes))
	}
	return problems
}

// naiveStandbys returns the ranges whose owner and standbys are not spread over
// the failure domains that have usable servers, at most three.
func naiveStandbys(sim *simulation) []string {
	var problems []string
	domain := map[string]string{}
	domains := map[string]bool{}
	for _, s := range sim.in.Servers {
		if s.State.Usable() {
			domain[s.Name] = s.Domain
			domains[s.Domain] = true
		}
	}
	if len(domains) == 0 {
		return nil
	}
	for _, r := range sim.in.Current.Ranges {
		distinct := map[string]bool{domain[r.Owner]: true, domain[r.FirstStandby]: true, domain[r.SecondStandby]: true}
		delete(distinct, "")
		if len(distinct) < len(domains) || r.Owner == r.FirstStandby || r.Owner == r.SecondStandby {
			problems = append(problems, fmt.Sprintf("%s has %s, %s, %s in %d of %d domains", r.Bounds, r.Owner, r.FirstStandby, r.SecondStandby, len(distinct), len(domains)))
		}
	}
	return problems
}

func boundedMoves(plan Plan) int {
	count := 0
	for _, m := range plan.Moves {
		if !m.Urgent {
			count++
		}
	}
	return count
}

func movesWithin(recent map[time.Time]int, now time.Time) int {
	count := 0
	for at, n := range recent {
		if now.Sub(at) < time.Second {
			count += n
		}
	}
	return count
}
