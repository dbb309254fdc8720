package assign

// evacuate moves all ranges off servers that cannot keep them, regardless of the
// move limit. It prefers a committed standby, which may take over before the new
// assignment is committed.
func (d *draft) evacuate() {
	for i := range d.ranges {
		if d.ownerUsable(d.ranges[i]) {
			continue
		}
		if to := d.chooseNewOwner(d.ranges[i]); to != none {
			d.move(i, to, d.evacuationReason(d.ranges[i].owner), true)
		}
	}
}

func (d *draft) evacuationReason(owner int) Reason {
	if owner == none {
		return ReasonServerRemoved
	}
	switch d.servers[owner].State {
	case OutOfService:
		return ReasonServerOut
	case Leaving:
		return ReasonServerLeaving
	default:
		return ReasonServerLost
	}
}

// chooseNewOwner returns the more suitable of the usable standbys, or else the
// most suitable usable server.
func (d *draft) chooseNewOwner(r draftRange) int {
	first, second := d.serverIndex(r.FirstStandby), d.serverIndex(r.SecondStandby)
	if to := d.moreSuitable(first, second); to != none {
		return to
	}
	best := none
	for _, i := range d.usable {
		best = d.moreSuitable(best, i)
	}
	return best
}

// moreSuitable returns the server that is the better owner of a further range,
// or none when neither is usable. Responsive, warm and fast servers are
// preferred, in this order, then those with less load.
func (d *draft) moreSuitable(a, b int) int {
	switch {
	case !d.canOwn(b):
		if !d.canOwn(a) {
			return none
		}
		return a
	case !d.canOwn(a):
		return b
	}
	if ra, rb := d.unsuitability(a), d.unsuitability(b); ra != rb {
		if ra < rb {
			return a
		}
		return b
	}
	if d.servers[b].load < d.servers[a].load {
		return b
	}
	return a
}

func (d *draft) canOwn(i int) bool {
	return i != none && d.servers[i].State.Usable()
}

// unsuitability ranks servers as owners of further ranges; 0 is best.
func (d *draft) unsuitability(i int) int {
	rank := 0
	if d.servers[i].Unresponsive {
		rank += 4
	}
	if d.servers[i].State == Cold {
		rank += 2
	}
	if d.servers[i].Slow {
		rank++
	}
	return rank
}
