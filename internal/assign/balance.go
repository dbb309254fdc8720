package assign

import "time"

// maxTargetLoadRatio is the share by which a move must leave its target below the source's
// present load. It keeps equal servers from exchanging ranges.
const maxTargetLoadRatio = 0.95

// balance relieves servers that have been overloaded, and fills servers that have
// been nearly idle, within the move limit.
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

// hasPersisted reports whether the condition has held for the server long enough.
func (d *draft) hasPersisted(since map[string]time.Time, i int) bool {
	at, known := since[d.servers[i].Name]
	return known && d.in.Now.Sub(at) >= d.in.Settings.OverloadDuration
}

// relieveOverloaded moves one range off the most loaded server that has been overloaded.
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

// fillUnderloaded gives a range to a server that has none, or has been nearly idle.
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
// second range only when its ramp has completed.
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

// leastLoaded returns the server that takes more load best, or none.
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

// mostLoaded returns the server with the most load that can give a range away, or none.
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

// moveBestFit moves the heaviest range of source that leaves target below the mean,
// or else the lightest that still improves the pair. It reports whether it moved one.
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
