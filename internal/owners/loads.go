package owners

import "time"

// serviceLoads is the load of all servers of one service while a plan is made.
type serviceLoads struct {
	servers []*serverLoad
	byName  map[string]*serverLoad
	rates   KeyRates
}

func (t *Table) newServiceLoads(now time.Time, service string, candidates []Candidate, heat KeyRates) *serviceLoads {
	out := &serviceLoads{byName: map[string]*serverLoad{}, rates: heat}
	for _, c := range candidates {
		l := &serverLoad{Candidate: c}
		if now.Before(t.suspects[c.Incarnation]) {
			l.Usable = false
		}
		out.servers = append(out.servers, l)
		out.byName[c.Name] = l
	}
	for _, s := range t.services[service] {
		if l := out.byName[s.owner.Name]; l != nil {
			l.rate += out.rateOf(s.Interval)
			l.keys += s.Size()
		}
	}
	return out
}

func (l *serviceLoads) rateOf(i Interval) float64 {
	rate := 0.0
	for key := i.From; key <= i.To; key++ {
		rate += l.rates.Rate(key)
	}
	return rate
}

func (l *serviceLoads) usable() []*serverLoad {
	var out []*serverLoad
	for _, one := range l.servers {
		if one.Usable {
			out = append(out, one)
		}
	}
	return out
}

// busiest returns the usable server with the highest use that is not left out.
func (l *serviceLoads) busiest(except map[*serverLoad]bool) *serverLoad {
	var best *serverLoad
	for _, one := range l.usable() {
		if except[one] {
			continue
		}
		if best == nil || one.utilization() > best.utilization() || one.utilization() == best.utilization() && one.keys > best.keys {
			best = one
		}
	}
	return best
}

// leastUtilized returns the usable server with the lowest use that is not cold, or else a cold one.
func (l *serviceLoads) leastUtilized(except string) *serverLoad {
	var best *serverLoad
	for _, cold := range []bool{false, true} {
		for _, one := range l.usable() {
			if one.Cold != cold || one.Name == except {
				continue
			}
			if best == nil || one.utilization() < best.utilization() || one.utilization() == best.utilization() && one.keys < best.keys {
				best = one
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// averageUtilization returns the use of all slots. What exceeds a server's capacity does
// not count: a key that fills any server would make all others look idle.
func (l *serviceLoads) averageUtilization() float64 {
	rate, capacity := 0.0, 0.0
	for _, one := range l.usable() {
		rate += min(one.rate, one.capacity())
		capacity += one.capacity()
	}
	if capacity == 0 {
		return 0
	}
	return rate / capacity
}

func (l *serviceLoads) averageRate() float64 {
	rate := 0.0
	usable := l.usable()
	for _, one := range usable {
		rate += one.rate
	}
	return rate / float64(max(1, len(usable)))
}

// transfer moves the load of an interval in the planner's books.
func (l *serviceLoads) transfer(i Interval, from, to *serverLoad) {
	rate := l.rateOf(i)
	if from != nil {
		from.rate -= rate
		from.keys -= i.Size()
	}
	to.rate += rate
	to.keys += i.Size()
}

// divide divides an interval so that no part is more than half an average server's load.
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

// smallestWindow returns the fewest neighbouring keys of i whose rate is at least four fifths of want.
func (l *serviceLoads) smallestWindow(i Interval, want float64) (Interval, bool) {
	const enough = 0.8
	if want <= 0 {
		return Interval{From: i.From, To: i.From + (i.Size()-1)/2}, true
	}
	var best Interval
	found := false
	from, sum := i.From, 0.0
	for to := i.From; to <= i.To; to++ {
		sum += l.rates.Rate(to)
		for from < to && sum-l.rates.Rate(from) >= want*enough {
			sum -= l.rates.Rate(from)
			from++
		}
		if sum >= want*enough && (!found || to-from+1 < best.Size()) {
			best, found = Interval{From: from, To: to}, true
		}
	}
	if !found && sum >= minMoveRate {
		return l.trimIdle(i), true // the whole range has less than is wanted
	}
	return best, found
}

// fastest returns the usable warm server with the highest capacity.
func (l *serviceLoads) fastest() *serverLoad {
	var best *serverLoad
	for _, one := range l.usable() {
		if !one.Cold && (best == nil || one.capacity() > best.capacity()) {
			best = one
		}
	}
	return best
}

// trimIdle cuts keys without requests off both ends of i.
func (l *serviceLoads) trimIdle(i Interval) Interval {
	const idle = 0.05
	for i.From < i.To && l.rates.Rate(i.From) < idle {
		i.From++
	}
	for i.To > i.From && l.rates.Rate(i.To) < idle {
		i.To--
	}
	return i
}
