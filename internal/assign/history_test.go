package assign

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Compares each plan with a naive recomputation: who serves each hash before and
// after, by search through the whole list, and which of these changes are allowed.
func TestPlansAgainstNaiveRecomputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(rapid.IntRange(3, 12).Draw(t, "servers"))
		recent := map[time.Time]int{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			disturb(t, b)
			before := b.in.Current
			plan := b.step(time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms")) * time.Millisecond)
			for _, text := range append(naiveMoves(b, before, plan), naiveStandbys(b)...) {
				t.Error(text)
			}
			if err := plan.Next.Validate(b.in.Interval); err != nil {
				t.Error(err)
			}
			recent[b.in.Now] = boundedMoves(plan)
			if n := movesWithin(recent, b.in.Now); n > b.in.Settings.MaxMovesPerSecond {
				t.Errorf("%d bounded moves within a second", n)
			}
			if t.Failed() {
				return
			}
		}
	})
}

// disturb changes servers, loads or hot keys.
func disturb(t *rapid.T, b *bench) {
	i := rapid.IntRange(0, len(b.in.Servers)-1).Draw(t, "server")
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		b.in.Servers[i].State = ServerState(rapid.IntRange(0, int(Lost)).Draw(t, "state"))
	case 1:
		b.in.Servers[i].Slow = !b.in.Servers[i].Slow
	case 2:
		for n := range b.in.Servers {
			if b.in.Servers[n].Domain == b.in.Servers[i].Domain {
				b.in.Servers[n].State = OutOfService
			}
		}
	case 3:
		h := b.in.Current.Ranges[rapid.IntRange(0, len(b.in.Current.Ranges)-1).Draw(t, "range")].Bounds.Start
		b.in.HotKeys = []HotKey{{Hash: h + 77, Rate: 200}}
	default:
		factor := float64(rapid.IntRange(1, 9).Draw(t, "factor"))
		hot := b.in.Servers[i].Name
		owners := b.in.Current.Clone()
		b.load = func(r Range) float64 {
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

// naiveMoves recomputes the moves of a plan and checks that each owner may keep its ranges.
func naiveMoves(b *bench, before Assignment, plan Plan) []string {
	var faults []string
	state := map[string]ServerState{}
	usable := 0
	for _, s := range b.in.Servers {
		state[s.Name] = s.State
		if s.State.Usable() {
			usable++
		}
	}
	listed := map[string]string{}
	for _, m := range plan.Moves {
		listed[m.Bounds.String()] = m.To
		if m.Urgent == state[m.From].Usable() {
			faults = append(faults, fmt.Sprintf("move off %s, which is %s, has urgent %v", m.From, state[m.From], m.Urgent))
		}
	}
	changes := 0
	for _, r := range plan.Next.Ranges {
		if usable > 0 && !state[r.Owner].Usable() {
			faults = append(faults, fmt.Sprintf("%s is owned by %s, which is %s", r.Bounds, r.Owner, state[r.Owner]))
		}
		if old := naiveOwner(before, r); old != r.Owner {
			changes++
			if listed[r.Bounds.String()] != r.Owner {
				faults = append(faults, fmt.Sprintf("%s changes from %s to %s without a move", r.Bounds, old, r.Owner))
			}
		}
	}
	if changes != len(plan.Moves) {
		faults = append(faults, fmt.Sprintf("%d moves are listed, %d owners change", len(plan.Moves), changes))
	}
	return faults
}

// naiveStandbys checks that standbys are usable and in different domains while there are three.
func naiveStandbys(b *bench) []string {
	var faults []string
	domain := map[string]string{}
	domains := map[string]bool{}
	for _, s := range b.in.Servers {
		if s.State.Usable() {
			domain[s.Name] = s.Domain
			domains[s.Domain] = true
		}
	}
	if len(domains) == 0 {
		return nil
	}
	for _, r := range b.in.Current.Ranges {
		distinct := map[string]bool{domain[r.Owner]: true, domain[r.FirstStandby]: true, domain[r.SecondStandby]: true}
		delete(distinct, "")
		if len(distinct) < len(domains) || r.Owner == r.FirstStandby || r.Owner == r.SecondStandby {
			faults = append(faults, fmt.Sprintf("%s has %s, %s, %s in %d of %d domains", r.Bounds, r.Owner, r.FirstStandby, r.SecondStandby, len(distinct), len(domains)))
		}
	}
	return faults
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
