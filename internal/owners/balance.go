package owners

import (
	"maps"
	"math"
	"sort"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// planBalance moves keys from servers at which requests take long to servers at which they take
// less time, until one more request would take about as long everywhere. That is the division
// with the shortest response time on average.
func (t *Table) planBalance(service string, loads *serviceLoads) {
	if t.now.Sub(t.balancedAt[service]) < balanceInterval {
		return
	}
	t.balancedAt[service] = t.now
	limit := maxConcurrentMoves(len(loads.usable()))
	if t.movesInProgress(service) >= limit {
		return
	}
	maps.DeleteFunc(t.shiftedAt, func(_ fleet.Incarnation, at time.Time) bool { return t.now.Sub(at) >= repeatDelay })
	loads.sumSteadyRates(&t.steadySums)
	servers := t.balancedServers(service, loads)
	average := setTargets(servers)
	if average < minMoveRate || average*loads.rates.SteadySeconds() < minBalancedRequests {
		return // too little has been measured
	}
	sort.SliceStable(servers, func(i, j int) bool { return servers[i].steady-servers[i].target > servers[j].steady-servers[j].target })
	least := minBalancedMove * average
	to := len(servers) - 1
	for _, from := range servers {
		for to >= 0 && from.steady-from.target >= max(least, loads.steadyNoise(from.steady)) && t.movesInProgress(service) < limit {
			if servers[to].target-servers[to].steady < max(least, loads.steadyNoise(servers[to].target)) || servers[to].ranges >= maxRangesPerServer {
				to--
				continue
			}
			want := min(from.steady-from.target, servers[to].target-servers[to].steady)
			if !t.shift(service, from, servers[to], want, loads) {
				break
			}
		}
	}
}

// balancedServers returns the usable warm servers whose load is steady.
func (t *Table) balancedServers(service string, loads *serviceLoads) []*balancedServer {
	byIncarnation := map[string]*balancedServer{}
	var out []*balancedServer
	for _, l := range loads.usable() {
		if l.Cold || l.keys == 0 {
			continue
		}
		b := &balancedServer{serverLoad: l}
		byIncarnation[l.Name] = b
		out = append(out, b)
	}
	for _, r := range t.services[service] {
		if b := byIncarnation[r.owner.Name]; b != nil && b.Incarnation == r.owner {
			b.steady += loads.steadyRateOf(r.Interval)
			b.ranges++
		}
	}
	tables := map[int]*utilizationTable{}
	steady := out[:0]
	for _, b := range out {
		noise := rateNoise * math.Sqrt(max(b.rate, b.steady, 1))
		if b.rate-noise <= burstRatio*b.steady && b.steady-noise <= burstRatio*b.rate {
			if tables[b.Slots] == nil {
				tables[b.Slots] = newUtilizationTable(b.Slots)
			}
			b.table = tables[b.Slots]
			steady = append(steady, b)
		}
	}
	return steady
}

// setTargets divides the rate of all servers so that one more request takes about as long at
// each of them, and returns the average rate.
func setTargets(servers []*balancedServer) float64 {
	total := 0.0
	low, high := 0.0, 0.0
	for _, b := range servers {
		total += b.steady
		high = max(high, b.marginalAt(maxBalancedUtilization*b.capacity()))
	}
	average := total / float64(max(1, len(servers)))
	sumAt := func(marginal float64) float64 {
		sum := 0.0
		for _, b := range servers {
			b.target = b.rateAt(marginal, minBalancedShare*average)
			sum += b.target
		}
		return sum
	}
	for range 12 {
		middle := (low + high) / 2
		if sumAt(middle) < total {
			low = middle
		} else {
			high = middle
		}
	}
	if sum := sumAt(high); sum < total {
		for _, b := range servers {
			b.target *= total / max(sum, minMoveRate) // beyond the balanced utilization
		}
	}
	return average
}

// shift moves keys with about the wanted rate if that saves more than it costs.
func (t *Table) shift(service string, from, to *balancedServer, want float64, loads *serviceLoads) bool {
	if from.marginalAt(from.steady) < t.requiredRatio(from, to)*to.marginalAt(to.steady) {
		return false
	}
	r, cut, ok := t.steadyCut(service, from, to, want, loads)
	if !ok {
		return false
	}
	rate := loads.steadyRateOf(cut)
	saved := from.totalAt(from.steady) - from.totalAt(from.steady-rate) + to.totalAt(to.steady) - to.totalAt(to.steady+rate)
	cost := rate*moveDelay.Seconds() + movePrice*float64(cut.Size())/NumKeys
	if rate < want/2 || rate > maxOvershoot*want || saved*balanceHorizon.Seconds() < cost {
		return false
	}
	t.moveCut(service, r, cut, from.serverLoad, to.serverLoad, loads, MoveBalanced)
	t.shiftedAt[from.Incarnation], t.shiftedAt[to.Incarnation] = t.now, t.now
	from.steady -= rate
	to.steady += rate
	to.ranges++
	return true
}

// requiredRatio returns how much longer one more request must take at from than at to before
// keys are moved. Several moves of one server within balanceInterval count as one.
func (t *Table) requiredRatio(from, to *balancedServer) float64 {
	for _, b := range []*balancedServer{from, to} {
		age := t.now.Sub(t.shiftedAt[b.Incarnation])
		if age >= balanceInterval && age < repeatDelay {
			return repeatedResponseRatio
		}
	}
	return minResponseRatio
}

// steadyCut returns an end of a range of the server with at most about the wanted rate, and the
// range. An end next to a range of the new owner is preferred, as the two can be merged.
func (t *Table) steadyCut(service string, from, to *balancedServer, want float64, loads *serviceLoads) (*rangeState, Interval, bool) {
	var best *rangeState
	var cut Interval
	bestRate := 0.0
	ranges := t.services[service]
	for i, r := range ranges {
		if r.owner != from.Incarnation || !t.movable(r) {
			continue
		}
		low, high := loads.steadyEnds(r.Interval, want)
		nextTo := func(j int) bool { return j >= 0 && j < len(ranges) && ranges[j].owner == to.Incarnation }
		end := high
		if nextTo(i-1) && !nextTo(i+1) {
			end = low
		}
		rate := loads.steadyRateOf(end)
		if nextTo(i-1) || nextTo(i+1) {
			rate *= 2
		}
		if end.Size() < r.Size() || from.ranges > 1 {
			if best == nil || rate > bestRate {
				best, cut, bestRate = r, end, rate
			}
		}
	}
	return best, cut, best != nil
}
