package owners

import "math"

// planBusy moves the fewest keys that relieve the servers that are far busier than
// the others. One that cannot be relieved, as it has a key that fills any server,
// does not keep the others from it.
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

// maxConcurrentMoves returns how many ranges of a service may change their owners at the
// same time: a bounded part of its servers works on moves.
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
	room := (average+(busyUtilization-average)/2)*to.capacity() - to.rate
	want := math.Min(room, excess)
	if want < minMoveRate {
		return false
	}
	s, cut, ok := t.smallestCut(service, from, want, loads)
	if !ok || loads.rateOf(cut) < minMoveRate || (to.rate+loads.rateOf(cut))/to.capacity() >= from.utilization() {
		return false
	}
	t.moveCut(service, s, cut, from, to, loads, MoveBusy)
	return true
}

// isolate serves a key that alone fills a server: it goes to a clearly faster
// server if there is one, and its neighbours at its server go elsewhere.
func (t *Table) isolate(service string, key int, rate float64, from *serverLoad, loads *serviceLoads) bool {
	if best := loads.fastest(); best != nil && best != from && best.capacity() > from.capacity()*minSpeedup &&
		(best.rate+rate)/best.capacity() < from.utilization() {
		if s := t.find(service, key); s != nil && t.movable(s) {
			t.moveCut(service, s, Interval{From: key, To: key}, from, best, loads, MoveBusy)
			return true
		}
	}
	to := loads.leastUtilized(from.Name)
	if to == nil || from.rate-rate < minMoveRate {
		return false
	}
	for _, s := range t.services[service] {
		if s.owner != from.Incarnation || !t.movable(s) {
			continue
		}
		for _, cut := range []Interval{{s.From, min(s.To, key-1)}, {max(s.From, key+1), s.To}} {
			if cut.Size() <= 0 || loads.rateOf(cut) < minMoveRate {
				continue
			}
			t.moveCut(service, s, loads.trimIdle(cut), from, to, loads, MoveBusy)
			return true
		}
	}
	return false
}

// hottestKey returns the busiest key of a server.
func (t *Table) hottestKey(service string, from *serverLoad, loads *serviceLoads) (key int, rate float64) {
	for _, s := range t.services[service] {
		if s.owner != from.Incarnation {
			continue
		}
		for k := s.From; k <= s.To; k++ {
			if r := loads.rates.Rate(k); r > rate {
				key, rate = k, r
			}
		}
	}
	return key, rate
}
