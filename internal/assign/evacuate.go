package assign

// evacuate moves all ranges off servers that cannot keep them, at once. A
// committed standby is preferred, since it may take over before the commit.
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

// chooseNewOwner returns the better usable standby, or else the least loaded usable server.
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

// moreSuitable returns the usable one of two servers, preferring warm ones that are not
// slow, then less load.
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

// unsuitability ranks servers by how badly they can take more work: 0 is best.
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
