package assign

// relieveSlow moves ranges off slow servers within the move limit, heaviest
// first. Each keeps one range, by which its recovery shows. When half or more of
// a failure domain is slow its servers keep their ranges: the cause is shared, and
// a mass migration would overload the other domains.
func (p *Planner) relieveSlow(d *draft) {
	for d.moveLimit > 0 {
		source := d.slowest()
		target := d.leastLoaded(source)
		if source == none || target == none {
			return
		}
		d.moveHeaviest(source, target)
	}
}

// slowest returns the slow server with the most load that may be relieved, or none.
func (d *draft) slowest() int {
	best := none
	for _, i := range d.usable {
		s := d.servers[i]
		if !s.Slow || s.Unresponsive || d.movable(i) < 2 || d.domainSlow(s.Domain) {
			continue
		}
		if best == none || s.load > d.servers[best].load {
			best = i
		}
	}
	return best
}

// movable counts the ranges of server i that are not being moved.
func (d *draft) movable(i int) int {
	count := 0
	for _, r := range d.ranges {
		if r.owner == i && !r.fixed {
			count++
		}
	}
	return count
}

// domainSlow reports whether half or more of the usable servers of a domain are slow.
func (d *draft) domainSlow(domain string) bool {
	slow, all := 0, 0
	for _, i := range d.usable {
		if d.servers[i].Domain != domain {
			continue
		}
		all++
		if d.servers[i].Slow {
			slow++
		}
	}
	return 2*slow >= all
}

func (d *draft) moveHeaviest(source, target int) {
	heavy := none
	for i, r := range d.ranges {
		if r.owner == source && !r.fixed && (heavy == none || r.load > d.ranges[heavy].load) {
			heavy = i
		}
	}
	d.move(heavy, target, ReasonServerSlow, false)
}
