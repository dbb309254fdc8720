package owners

import (
	"sort"
	"time"
)

// KeyRates tells the request rate of each key.
type KeyRates interface {
	// Rate returns the requests/s for key.
	Rate(key int) float64
}

// Plan looks for owners of ranges that need one and moves keys off busy servers.
// It reports whether the plan has changed.
func (t *Table) Plan(now time.Time, service string, candidates []Candidate, heat KeyRates) bool {
	before := t.version
	t.now = now
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Name < candidates[j].Name })
	loads := t.newServiceLoads(now, service, candidates, heat)
	if len(loads.usable()) == 0 {
		return false
	}
	if len(t.services[service]) == 0 {
		if !t.serverCountStable(now, service, len(loads.usable())) {
			return false
		}
		t.planFirst(service, loads)
		return t.version != before
	}
	t.planLost(service, loads)
	t.planJoined(service, loads)
	t.planBusy(service, loads)
	t.merge(service)
	return t.version != before
}

// serverCountStable reports whether the number of usable servers has stayed the same for
// a while, since servers that start together are listed one after the other.
func (t *Table) serverCountStable(now time.Time, service string, usable int) bool {
	c, ok := t.serverCounts[service]
	if !ok || c.servers != usable {
		t.serverCounts[service] = serverCount{servers: usable, since: now}
		return false
	}
	return now.Sub(c.since) >= firstPlanDelay
}

// planFirst gives all servers equal parts by their slots.
func (t *Table) planFirst(service string, loads *serviceLoads) {
	usable := loads.usable()
	total := 0
	for _, l := range usable {
		total += l.Slots
	}
	version := t.newPlanVersion()
	from, slots := 0, 0
	for _, l := range usable {
		slots += l.Slots
		to := NumKeys*slots/total - 1
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

// planLost moves ranges whose owner is gone, leaves or is silent.
func (t *Table) planLost(service string, loads *serviceLoads) {
	for _, s := range append([]*rangeState(nil), t.services[service]...) {
		owner := loads.byName[s.owner.Name]
		switch {
		case owner == nil || !owner.Usable:
		case owner.Incarnation != s.owner:
			t.move(service, s, owner.Incarnation, MoveRestarted) // the server started again and knows nothing
			continue
		default:
			continue
		}
		t.reassign(service, s, loads, s.owner.Name)
	}
}

// reassign gives the range to the servers with most room, cut so that none is overloaded.
func (t *Table) reassign(service string, s *rangeState, loads *serviceLoads, except string) {
	for _, cut := range loads.divide(s.Interval) {
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
		if s, cut, ok := t.smallestCut(service, from, want, loads); ok {
			t.moveCut(service, s, cut, from, l, loads, MoveJoined)
		}
	}
}

// movable reports whether the range may be moved for load.
func (t *Table) movable(s *rangeState) bool {
	return s.phase == PhaseHeld && !t.now.Before(s.cooldownUntil)
}

func (t *Table) moveCut(service string, s *rangeState, cut Interval, from, to *serverLoad, loads *serviceLoads, reason MoveReason) {
	part := t.split(service, s, cut)
	loads.transfer(cut, from, to)
	t.move(service, part, to.Incarnation, reason)
}

// smallestCut returns the fewest neighbouring keys of a server that have the wanted rate.
func (t *Table) smallestCut(service string, from *serverLoad, want float64, loads *serviceLoads) (*rangeState, Interval, bool) {
	var best *rangeState
	var cut Interval
	for _, s := range t.services[service] {
		if s.owner != from.Incarnation || !t.movable(s) {
			continue
		}
		i, ok := loads.smallestWindow(s.Interval, want)
		if ok && (best == nil || i.Size() < cut.Size()) {
			best, cut = s, i
		}
	}
	return best, cut, best != nil
}

// movesInProgress returns the number of ranges that are changing their owner.
func (t *Table) movesInProgress(service string) int {
	n := 0
	for _, s := range t.services[service] {
		if s.phase != PhaseHeld {
			n++
		}
	}
	return n
}
