package owners

import "time"

// serviceLoads is the load of all servers of one service while a plan is made.
type serviceLoads struct {
	servers []*serverLoad
	byName  map[string]*serverLoad
	rates   KeyRates
	sums    *rateSums
}

func (t *Table) newServiceLoads(now time.Time, service string, candidates []Candidate, rates KeyRates) *serviceLoads {
	if t.rateSums[service] == nil {
		t.rateSums[service] = newRateSums()
	}
	out := &serviceLoads{byName: map[string]*serverLoad{}, rates: rates, sums: t.rateSums[service]}
	out.sums.update(now, rates)
	ignoreSuspects := t.mostUnresponsive(candidates)
	for _, c := range candidates {
		l := &serverLoad{Candidate: c}
		if now.Before(t.ended[c.Incarnation]) || now.Before(t.suspects[c.Incarnation]) && !ignoreSuspects {
			l.Usable = false
		}
		out.servers = append(out.servers, l)
		out.byName[c.Name] = l
	}
	for _, r := range t.services[service] {
		if l := out.byName[r.owner.Name]; l != nil {
			l.rate += out.rateOf(r.Interval)
			l.expected += out.sums.expectedRateOf(r.Interval)
			l.keys += r.Size()
		}
	}
	return out
}

func (l *serviceLoads) rateOf(i Interval) float64 {
	return l.sums.rateOf(i)
}

func (l *serviceLoads) usable() []*serverLoad {
	var out []*serverLoad
	for _, server := range l.servers {
		if server.Usable {
			out = append(out, server)
		}
	}
	return out
}

// busiest returns the usable server with the highest utilization outside except.
func (l *serviceLoads) busiest(except map[*serverLoad]bool) *serverLoad {
	var best *serverLoad
	for _, server := range l.usable() {
		if except[server] {
			continue
		}
		if best == nil || server.utilization() > best.utilization() || server.utilization() == best.utilization() && server.keys > best.keys {
			best = server
		}
	}
	return best
}

// leastUtilized returns the usable warm server with the lowest utilization, or a
// cold one if there is none.
func (l *serviceLoads) leastUtilized(except string) *serverLoad {
	var best *serverLoad
	for _, cold := range []bool{false, true} {
		for _, server := range l.usable() {
			if server.Cold != cold || server.Name == except {
				continue
			}
			if best == nil || server.utilization() < best.utilization() || server.utilization() == best.utilization() && server.keys < best.keys {
				best = server
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// averageUtilization returns the utilization of all slots together. Load beyond a
// server's capacity is not counted: a key that saturates its server would raise the
// average so far that all other servers look idle.
func (l *serviceLoads) averageUtilization() float64 {
	rate, capacity := 0.0, 0.0
	for _, server := range l.usable() {
		rate += min(server.rate, server.capacity())
		capacity += server.capacity()
	}
	if capacity == 0 {
		return 0
	}
	return rate / capacity
}

func (l *serviceLoads) averageRate() float64 {
	rate := 0.0
	usable := l.usable()
	for _, server := range usable {
		rate += server.rate
	}
	return rate / float64(max(1, len(usable)))
}

// transfer accounts the load of an interval to another server. from is nil if the
// interval had no usable owner.
func (l *serviceLoads) transfer(i Interval, from, to *serverLoad) {
	rate, expected := l.rateOf(i), l.sums.expectedRateOf(i)
	if from != nil {
		from.rate -= rate
		from.expected -= expected
		from.keys -= i.Size()
	}
	to.rate += rate
	to.expected += expected
	to.keys += i.Size()
}

// divide splits an interval into parts of about half the average server load, at
// most half of maxRangesPerServer of them.
func (l *serviceLoads) divide(i Interval) []Interval {
	limit := l.averageRate() / 2
	total := l.rateOf(i)
	parts := 1
	if limit > 0 {
		parts = min(maxRangesPerServer/2, max(1, int(total/limit)))
	}
	var out []Interval
	from, sum := i.From, 0.0
	for key := i.From; key <= i.To; key++ {
		sum += l.rates.Rate(key)
		if len(out) < parts-1 && sum >= total/float64(parts) && key < i.To {
			out = append(out, Interval{From: from, To: key})
			from, sum = key+1, 0
		}
	}
	return append(out, Interval{From: from, To: i.To})
}

// smallestWindow returns the shortest part of i whose rate is at least four fifths of want.
func (l *serviceLoads) smallestWindow(i Interval, want float64) (Interval, bool) {
	const minFraction = 0.8
	if want <= 0 {
		return Interval{From: i.From, To: i.From + (i.Size()-1)/2}, true
	}
	var best Interval
	found := false
	from, sum := i.From, 0.0
	for to := i.From; to <= i.To; to++ {
		sum += l.rates.Rate(to)
		for from < to && sum-l.rates.Rate(from) >= want*minFraction {
			sum -= l.rates.Rate(from)
			from++
		}
		if sum >= want*minFraction && (!found || to-from+1 < best.Size()) {
			best, found = Interval{From: from, To: to}, true
		}
	}
	if !found && sum >= minMoveRate {
		return l.trimIdle(i), true // the rate of the whole interval is below want
	}
	return best, found
}

// fastest returns the usable warm server with the highest capacity.
func (l *serviceLoads) fastest() *serverLoad {
	var best *serverLoad
	for _, server := range l.usable() {
		if !server.Cold && (best == nil || server.capacity() > best.capacity()) {
			best = server
		}
	}
	return best
}

// trimIdle removes keys with hardly any requests from both ends of i.
func (l *serviceLoads) trimIdle(i Interval) Interval {
	const idleRate = 0.05
	for i.From < i.To && l.rates.Rate(i.From) < idleRate {
		i.From++
	}
	for i.To > i.From && l.rates.Rate(i.To) < idleRate {
		i.To--
	}
	return i
}
