package owners

import "math"

// planBusy moves as few keys as possible off servers that are far busier than the
// average. A server that cannot be relieved, because a single key saturates any
// server, does not prevent the others from being relieved.
func (t *Table) planBusy(service string, loads *serviceLoads) {
	usable := loads.usable()
	limit := maxConcurrentMoves(len(usable))
	average := loads.averageUtilization()
	stuck := map[*serverLoad]bool{}
	for t.movesInProgress(service) < limit {
		from := loads.busiest(stuck)
		if from == nil || from.utilization() < busyUtilization || from.utilization() < average+minUtilizationExcess {
			return
		}
		stuck[from] = !t.relieve(service, from, average, loads)
	}
}

// planSpread spreads the hot neighbouring keys of overloaded servers.
func (t *Table) planSpread(service string, loads *serviceLoads) {
	limit := max(maxConcurrentMoves(len(loads.usable())), int(spreadShare*float64(len(loads.usable()))))
	done := map[*serverLoad]bool{}
	for t.movesInProgress(service) < limit {
		from := loads.busiest(done)
		if from == nil || from.leastUtilization() < 1 {
			return
		}
		done[from] = true
		if _, rate := t.hottestKey(service, from, loads); rate < dominantShare*from.rate {
			t.spread(service, from, limit, loads)
		}
	}
}

// maxConcurrentMoves returns how many ranges of a service may move at the same time,
// so that only a bounded part of its servers is affected.
func maxConcurrentMoves(servers int) int {
	return max(minConcurrentMoves, servers/serversPerMove)
}

// relieve plans one move off the server and reports whether there is a useful one.
func (t *Table) relieve(service string, from *serverLoad, average float64, loads *serviceLoads) bool {
	excess := from.rate - average*from.capacity()
	key, rate := t.hottestKey(service, from, loads)
	if rate >= dominantShare*from.rate {
		return t.isolate(service, key, rate, from, loads)
	}
	to := loads.leastUtilized(from.Name)
	if to == nil {
		return false
	}
	room := (average+max(0, busyUtilization-average)/2)*to.capacity() - to.rate
	want := math.Min(room, excess)
	if want < minMoveRate {
		return false
	}
	r, cut, ok := t.smallestCut(service, from, want, loads)
	if !ok || loads.rateOf(cut) < minMoveRate || (to.rate+loads.rateOf(cut))/to.capacity() >= from.utilization() {
		return false
	}
	t.moveCut(service, r, cut, from, to, loads, MoveBusy)
	return true
}

// isolate handles a key that takes up most of its server: it moves the key once to a clearly
// faster server if there is one, and otherwise moves other keys off its server.
func (t *Table) isolate(service string, key int, rate float64, from *serverLoad, loads *serviceLoads) bool {
	if best := loads.fastest(); best != nil && best != from && best.capacity() > from.capacity()*minSpeedup &&
		(best.rate+rate)/best.capacity() < from.utilization() && !t.hotMoves[service].recent(t.now, key) {
		if r := t.find(service, key); r != nil && t.movable(r) {
			t.moveCut(service, r, Interval{From: key, To: key}, from, best, loads, MoveBusy)
			if t.hotMoves[service] == nil {
				t.hotMoves[service] = hotMoves{}
			}
			t.hotMoves[service].add(t.now, key)
			return true
		}
	}
	to := loads.leastUtilized(from.Name)
	if to == nil || from.rate-rate < minMoveRate {
		return false
	}
	for _, r := range t.services[service] {
		if r.owner != from.Incarnation || !t.movable(r) {
			continue
		}
		for _, cut := range []Interval{{r.From, min(r.To, key-1)}, {max(r.From, key+1), r.To}} {
			if cut.Size() <= 0 || loads.rateOf(cut) < minMoveRate {
				continue
			}
			t.moveCut(service, r, loads.trimIdle(cut), from, to, loads, MoveBusy)
			return true
		}
	}
	return false
}

// hottestKey returns the key of a server with the highest rate.
func (t *Table) hottestKey(service string, from *serverLoad, loads *serviceLoads) (key int, rate float64) {
	for _, r := range t.services[service] {
		if r.owner != from.Incarnation {
			continue
		}
		for k := r.From; k <= r.To; k++ {
			if keyRate := loads.rates.Rate(k); keyRate > rate {
				key, rate = k, keyRate
			}
		}
	}
	return key, rate
}
