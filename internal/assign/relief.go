package assign

// relieveSlow moves ranges off slow servers within the move limit, heaviest
// first. A slow server keeps one range, so that its recovery can be measured.
// When half or more of the servers of a failure domain are slow, they keep their
// ranges: the cause is shared, and moving all of them would overload the other
// domains.
func (p *Planner) relieveSlow(d *draft) {
	for d.movesLeft > 0 {
		source := d.mostLoadedSlow()
		target := d.leastLoaded(source)
		if source == none || target == none {
			return
		}
		d.moveHeaviest(source, target)
	}
}

// mostLoadedSlow returns the most loaded slow server that may be relieved, or
// none.
func (d *draft) mostLoadedSlow() int {
	best := none
	for _, i := range d.usable {
		s := d.servers[i]
		if !s.Slow || s.Unresponsive || d.countMovable(i) < 2 || d.isDomainSlow(s.Domain) {
			continue
		}
		if best == none || s.load > d.servers[best].load {
			best = i
		}
	}
	return best
}

// countMovable returns the number of ranges of server i that are not being
// moved.
func (d *draft) countMovable(i int) int {
	count := 0
	for _, r := range d.ranges {
		if r.owner == i && !r.moving {
			count++
		}
	}
	return count
}

// isDomainSlow reports whether half or more of the usable servers of a failure
// domain are slow.
func (d *draft) isDomainSlow(domain string) bool {
	slow, total := 0, 0
	for _, i := range d.usable {
		if d.servers[i].Domain != domain {
			continue
		}
		total++
		if d.servers[i].Slow {
			slow++
		}
	}
	return 2*slow >= total
}

func (d *draft) moveHeaviest(source, target int) {
	heaviest := none
	for i, r := range d.ranges {
		if r.owner == source && !r.moving && (heaviest == none || r.load > d.ranges[heaviest].load) {
			heaviest = i
		}
	}
	d.move(heaviest, target, ReasonServerSlow, false)
}
