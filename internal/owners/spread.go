package owners

import "sort"

// spread moves the hot keys of a server that none of the others could take together to many
// servers at once, and reports whether it has planned a move. limit is the number of moves of
// the service that may be in progress.
func (t *Table) spread(service string, from *serverLoad, limit int, loads *serviceLoads) bool {
	targets := t.spreadTargets(service, from, loads)
	left := max(from.rate, from.expected)
	if len(targets) == 0 || left-spreadUtilization*from.capacity() < targets[0].room(spreadUtilization) {
		return false
	}
	growth := 1.0
	if from.expected > burstRatio*from.rate {
		growth = onsetGrowth
	}
	moves := limit - t.movesInProgress(service)
	moved := false
	for _, r := range append([]*rangeState(nil), t.services[service]...) {
		if r.owner != from.Incarnation || !t.movable(r) {
			continue
		}
		hot := loads.hotPart(r.Interval)
		for len(targets) > 0 && moves > 0 && hot.Size() > 0 && left > spreadUtilization*from.capacity() {
			to := targets[0]
			targets = targets[1:]
			part, rate := loads.prefixOf(hot, min(to.room(spreadUtilization), left-spreadUtilization*from.capacity())/growth)
			if rate > to.room(maxSpreadUtilization) {
				return moved // the other targets have less room
			}
			if rate < minMoveRate {
				break // what is left of this range is not hot
			}
			at := t.find(service, part.From)
			t.moveCut(service, at, part, from, to, loads, MoveSpread)
			hot.From = part.To + 1
			left -= rate
			moves--
			moved = true
		}
	}
	return moved
}

// spreadTargets returns the warm servers that can take hot keys, the one with most room first.
func (t *Table) spreadTargets(service string, from *serverLoad, loads *serviceLoads) []*serverLoad {
	ranges := map[string]int{}
	for _, r := range t.services[service] {
		ranges[r.owner.Name]++
	}
	var out []*serverLoad
	for _, l := range loads.usable() {
		if l != from && !l.Cold && ranges[l.Name] < maxRangesPerServer && l.room(spreadUtilization) >= minMoveRate {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].room(spreadUtilization) > out[j].room(spreadUtilization) })
	return out
}

// hotPart returns i without the keys at both ends that are not hot. It is empty if none is.
func (l *serviceLoads) hotPart(i Interval) Interval {
	for i.From <= i.To && l.rates.Rate(i.From) < hotKeyRate {
		i.From++
	}
	for i.To >= i.From && l.rates.Rate(i.To) < hotKeyRate {
		i.To--
	}
	return i
}

// prefixOf returns the longest part at the begin of i with at most the wanted expected rate, but
// at least one key, and that rate.
func (l *serviceLoads) prefixOf(i Interval, want float64) (Interval, float64) {
	part := Interval{From: i.From, To: i.From}
	n := sort.Search(i.Size()-1, func(n int) bool {
		return l.sums.expectedRateOf(Interval{From: i.From, To: i.From + n + 1}) > want
	})
	part.To = i.From + n
	return part, l.sums.expectedRateOf(part)
}
