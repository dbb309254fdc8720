package assign

import "time"

// gain is the share by which a move must leave its target below the source's
// present load. It keeps equal servers from exchanging ranges.
const gain = 0.95

// balance relieves servers that have been overloaded, and fills servers that have
// been nearly idle, within the move limit.
func (p *Planner) balance(d *draft) {
	ratio := d.in.Settings.OverloadRatio
	p.over = d.noteLoad(p.over, func(s draftServer) bool { return s.load > ratio*d.mean })
	p.under = d.noteLoad(p.under, func(s draftServer) bool { return s.load < (2-ratio)*d.mean })
	for d.moveLimit > 0 {
		if !p.fillOne(d) && !p.relieveOne(d) {
			return
		}
	}
}

// noteLoad returns since when each usable server meets the condition.
func (d *draft) noteLoad(before map[string]time.Time, meets func(draftServer) bool) map[string]time.Time {
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

// lasted reports whether the condition has held for the server long enough.
func (d *draft) lasted(since map[string]time.Time, i int) bool {
	at, known := since[d.servers[i].Name]
	return known && d.in.Now.Sub(at) >= d.in.Settings.OverloadDuration
}

// relieveOne moves one range off the most loaded server that has been overloaded.
func (p *Planner) relieveOne(d *draft) bool {
	source := none
	for _, i := range d.usable {
		s := d.servers[i]
		if s.Unresponsive || s.ranges < 2 || s.load <= d.in.Settings.OverloadRatio*d.mean || !d.lasted(p.over, i) {
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
	return d.moveBest(source, target, ReasonOverload)
}

// fillOne gives a range to a server that has none, or has been nearly idle.
func (p *Planner) fillOne(d *draft) bool {
	target := none
	for _, i := range d.usable {
		if !p.fillable(d, i) {
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
	return d.moveBest(source, target, ReasonFillServer)
}

// fillable reports whether server i should get a range. A cold server gets its
// second range only when its ramp has completed.
func (p *Planner) fillable(d *draft, i int) bool {
	s := d.servers[i]
	if s.Slow || s.Unresponsive {
		return false
	}
	if s.ranges == 0 {
		return true
	}
	return s.State == InService && s.load < (2-d.in.Settings.OverloadRatio)*d.mean && d.lasted(p.under, i)
}

// leastLoaded returns the server that takes more load best, or none.
func (d *draft) leastLoaded(except int) int {
	best := none
	for _, i := range d.usable {
		s := d.servers[i]
		if i == except || s.Slow || s.Unresponsive || (s.State == Cold && s.ranges > 0) {
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
		if i == except || s.Unresponsive || s.ranges < 2 {
			continue
		}
		if best == none || s.load > d.servers[best].load {
			best = i
		}
	}
	return best
}

// moveBest moves the heaviest range of source that leaves target below the mean,
// or else the lightest that still improves the pair. It reports whether it moved one.
func (d *draft) moveBest(source, target int, reason Reason) bool {
	room := d.mean - d.servers[target].load
	limit := gain*d.servers[source].load - d.servers[target].load
	fit, light := none, none
	for i, r := range d.ranges {
		if r.owner != source || r.fixed || r.load > limit {
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
		if r.owner == source && !r.fixed && (light == none || r.load < d.ranges[light].load) {
			light = i
		}
	}
	if light == none {
		return false
	}
	d.move(light, target, reason, false)
	return true
}
