package owners

import (
	"sort"
	"time"
)

// KeyRates provides the request rate of each key.
type KeyRates interface {
	// Rate returns the requests/s for key.
	Rate(key int) float64
}

// Plan assigns owners to ranges that need one and moves keys off busy servers. It
// sorts candidates in place and reports whether the plan has changed.
func (t *Table) Plan(now time.Time, service string, candidates []Candidate, rates KeyRates) bool {
	before := t.version
	t.now = now
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Name < candidates[j].Name })
	loads := t.newServiceLoads(now, service, candidates, rates)
	if len(loads.usable()) == 0 {
		return false
	}
	if len(t.services[service]) == 0 {
		if !t.serverCountStable(now, service, len(loads.usable())) || t.RangesLost(now) {
			return false
		}
		t.planFirst(service, loads)
		return t.version != before
	}
	t.planLost(service, loads)
	t.planJoined(service, loads)
	t.planSpread(service, loads)
	t.planBusy(service, loads)
	t.merge(service)
	return t.version != before
}

// serverCountStable reports whether the number of usable servers has been the same
// for firstPlanDelay. Servers that start together are listed one after the other.
func (t *Table) serverCountStable(now time.Time, service string, usable int) bool {
	c, ok := t.serverCounts[service]
	if !ok || c.servers != usable {
		t.serverCounts[service] = serverCount{servers: usable, since: now}
		return false
	}
	return now.Sub(c.since) >= firstPlanDelay
}

// planFirst divides the keys among all servers in proportion to their slots and, if an earlier
// holder has learned them, to their speeds.
func (t *Table) planFirst(service string, loads *serviceLoads) {
	usable := loads.usable()
	weights, total := firstWeights(usable), 0.0
	for _, weight := range weights {
		total += weight
	}
	version := t.newPlanVersion()
	from, sum := 0, 0.0
	for i, l := range usable {
		sum += weights[i]
		to := int(NumKeys*sum/total) - 1
		if i == len(usable)-1 {
			to = NumKeys - 1
		}
		if to < from {
			continue // its share is less than a key
		}
		t.services[service] = append(t.services[service], &rangeState{
			Interval: Interval{From: from, To: to},
			owner:    l.Incarnation,
			fence:    t.nextFence(),
			phase:    PhasePlanned,
			version:  version,
		})
		from = to + 1
	}
}

// planLost moves ranges whose owner has restarted, or is unlisted, leaving or not answering.
func (t *Table) planLost(service string, loads *serviceLoads) {
	for _, r := range append([]*rangeState(nil), t.services[service]...) {
		owner := loads.byName[r.owner.Name]
		switch {
		case owner == nil || !owner.Usable:
		case r.inherited && owner.StartMS < r.owner.StartMS && !t.InheritedGrantsEnded(t.now):
			continue // the list is older than the record
		case owner.Incarnation != r.owner:
			t.move(service, r, owner.Incarnation, MoveRestarted) // the new process has none of the old one's state
			continue
		default:
			continue
		}
		t.reassign(service, r, loads, r.owner.Name)
	}
}

// reassign gives a lost range to the least utilized servers, divided so that none is overloaded.
func (t *Table) reassign(service string, r *rangeState, loads *serviceLoads, except string) {
	for _, cut := range loads.divide(r.Interval) {
		to := loads.leastUtilized(except)
		if to == nil {
			return
		}
		part := t.find(service, cut.From)
		if part == nil {
			return
		}
		part = t.split(service, part, cut)
		loads.transfer(cut, nil, to)
		t.move(service, part, to.Incarnation, MoveLost)
	}
}

// planJoined gives servers without keys a part of the busiest servers' keys.
func (t *Table) planJoined(service string, loads *serviceLoads) {
	limit := maxConcurrentMoves(len(loads.usable()))
	for _, l := range loads.usable() {
		if l.keys > 0 || t.movesInProgress(service) >= limit {
			continue
		}
		from := loads.busiest(nil)
		if from == nil || from == l {
			return
		}
		want := loads.averageRate() * joinLoadShare
		if r, cut, ok := t.smallestCut(service, from, want, loads); ok {
			t.moveCut(service, r, cut, from, l, loads, MoveJoined)
		}
	}
}

// movable reports whether the range may be moved for load.
func (t *Table) movable(r *rangeState) bool {
	return r.phase == PhaseHeld && !t.now.Before(r.cooldownUntil)
}

func (t *Table) moveCut(service string, r *rangeState, cut Interval, from, to *serverLoad, loads *serviceLoads, reason MoveReason) {
	part := t.split(service, r, cut)
	loads.transfer(cut, from, to)
	t.move(service, part, to.Incarnation, reason)
}

// smallestCut returns the shortest part of a server's ranges that has about the
// wanted rate, and the range that contains it.
func (t *Table) smallestCut(service string, from *serverLoad, want float64, loads *serviceLoads) (*rangeState, Interval, bool) {
	var best *rangeState
	var cut Interval
	for _, r := range t.services[service] {
		if r.owner != from.Incarnation || !t.movable(r) {
			continue
		}
		i, ok := loads.smallestWindow(r.Interval, want)
		if ok && (best == nil || i.Size() < cut.Size()) {
			best, cut = r, i
		}
	}
	return best, cut, best != nil
}

// movesInProgress returns the number of ranges that are not held by their planned owner.
func (t *Table) movesInProgress(service string) int {
	n := 0
	for _, r := range t.services[service] {
		if r.phase != PhaseHeld {
			n++
		}
	}
	return n
}
