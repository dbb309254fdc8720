package assign

import "time"

// maxTargetLoadRatio limits the load of the target after a move, as a share of
// the source's load before it. It keeps servers with equal loads from exchanging
// ranges.
const maxTargetLoadRatio = 0.95

// balance moves ranges off servers that have been overloaded, and to servers
// that have been underloaded or own no range, within the move limit.
func (p *Planner) balance(d *draft) {
	ratio := d.in.Settings.OverloadRatio
	p.overloadedSince = d.trackCondition(p.overloadedSince, func(s draftServer) bool { return s.load > ratio*d.meanLoad })
	p.underloadedSince = d.trackCondition(p.underloadedSince, func(s draftServer) bool { return s.load < (2-ratio)*d.meanLoad })
	for d.movesLeft > 0 {
		if !p.fillUnderloaded(d) && !p.relieveOverloaded(d) {
			return
		}
	}
}

// trackCondition returns since when each usable server meets the condition.
// before holds the result of the previous plan.
func (d *draft) trackCondition(before map[string]time.Time, meets func(draftServer) bool) map[string]time.Time {
	after := make(map[string]time.Time, len(before))
	for _, i := range d.usable {
		s := d.servers[i]
		if !meets(s) {
			continue
		}
		since, known := before[s.Name]
		if !known {
			since = d.in.Now
		}
		after[s.Name] = since
	}
	return after
}

// hasPersisted reports whether server i has met the condition for
// OverloadDuration.
func (d *draft) hasPersisted(since map[string]time.Time, i int) bool {
	at, known := since[d.servers[i].Name]
	return known && d.in.Now.Sub(at) >= d.in.Settings.OverloadDuration
}

// relieveOverloaded moves one range off the most loaded server that has been
// overloaded for long enough. It reports whether it moved one.
func (p *Planner) relieveOverloaded(d *draft) bool {
	source := none
	for _, i := range d.usable {
		s := d.servers[i]
		if s.Unresponsive || s.rangeCount < 2 || s.load <= d.in.Settings.OverloadRatio*d.meanLoad || !d.hasPersisted(p.overloadedSince, i) {
			continue
		}
		if source == none || s.load > d.servers[source].load {
			source = i
		}
	}
	target := d.leastLoaded(source)
	if source == none || target == none {
		return false
	}
	return d.moveBestFit(source, target, ReasonOverload)
}

// fillUnderloaded moves one range to the least loaded server that owns none or
// has been underloaded for long enough. It reports whether it moved one.
func (p *Planner) fillUnderloaded(d *draft) bool {
	target := none
	for _, i := range d.usable {
		if !p.needsRange(d, i) {
			continue
		}
		if target == none || d.servers[i].load < d.servers[target].load {
			target = i
		}
	}
	if target == none {
		return false
	}
	source := d.mostLoaded(target)
	if source == none {
		return false
	}
	if d.servers[target].State == Cold {
		return d.moveLightest(source, target, ReasonFillServer)
	}
	return d.moveBestFit(source, target, ReasonFillServer)
}

// needsRange reports whether server i should get a range. A cold server gets its
// second range only after its slow start has completed.
func (p *Planner) needsRange(d *draft, i int) bool {
	s := d.servers[i]
	if s.Slow || s.Unresponsive {
		return false
	}
	if s.rangeCount == 0 {
		return true
	}
	return s.State == InService && s.load < (2-d.in.Settings.OverloadRatio)*d.meanLoad && d.hasPersisted(p.underloadedSince, i)
}

// leastLoaded returns the least loaded server that can take more load, or none.
func (d *draft) leastLoaded(except int) int {
	best := none
	for _, i := range d.usable {
		s := d.servers[i]
		if i == except || s.Slow || s.Unresponsive || (s.State == Cold && s.rangeCount > 0) {
			continue
		}
		if best == none || s.load < d.servers[best].load {
			best = i
		}
	}
	return best
}

// mostLoaded returns the most loaded server that can give up a range, or none.
func (d *draft) mostLoaded(except int) int {
	best := none
	for _, i := range d.usable {
		s := d.servers[i]
		if i == except || s.Unresponsive || s.rangeCount < 2 {
			continue
		}
		if best == none || s.load > d.servers[best].load {
			best = i
		}
	}
	return best
}

// moveBestFit moves the heaviest range of source that leaves target at or below
// the mean load. When there is none, it moves the lightest range that still
// reduces the imbalance between the two servers. It reports whether it moved
// one.
func (d *draft) moveBestFit(source, target int, reason Reason) bool {
	room := d.meanLoad - d.servers[target].load
	limit := maxTargetLoadRatio*d.servers[source].load - d.servers[target].load
	fit, light := none, none
	for i, r := range d.ranges {
		if r.owner != source || r.moving || r.load > limit {
			continue
		}
		if r.load <= room && (fit == none || r.load > d.ranges[fit].load) {
			fit = i
		}
		if light == none || r.load < d.ranges[light].load {
			light = i
		}
	}
	if fit == none {
		fit = light
	}
	if fit == none {
		return false
	}
	d.move(fit, target, reason, false)
	return true
}

// moveLightest moves the lightest range of source. It reports whether it moved one.
func (d *draft) moveLightest(source, target int, reason Reason) bool {
	light := none
	for i, r := range d.ranges {
		if r.owner == source && !r.moving && (light == none || r.load < d.ranges[light].load) {
			light = i
		}
	}
	if light == none {
		return false
	}
	d.move(light, target, reason, false)
	return true
}
