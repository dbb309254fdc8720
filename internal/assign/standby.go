package assign

// assignStandbys sets the standbys of ranges that have none and replaces those
// that cannot take over: servers that are unknown or not usable, the owner
// itself, and servers in the failure domain of the owner or of the other standby
// while the shard has enough domains.
func (d *draft) assignStandbys() {
	domains := d.usableDomains()
	for i := range d.ranges {
		r := &d.ranges[i]
		if !d.ownerUsable(*r) {
			continue
		}
		first, second := d.serverIndex(r.FirstStandby), d.serverIndex(r.SecondStandby)
		newFirst, newSecond := d.chooseStandbys(r.owner, first, second, domains)
		if newFirst == first && newSecond == second && d.serverName(first) == r.FirstStandby && d.serverName(second) == r.SecondStandby {
			continue
		}
		r.FirstStandby, r.SecondStandby = d.serverName(newFirst), d.serverName(newSecond)
		d.standbyChanges = append(d.standbyChanges, StandbyChange{
			Bounds: r.Bounds, FirstStandby: r.FirstStandby, SecondStandby: r.SecondStandby, Reason: ReasonStandbyUnsuitable,
		})
	}
}

// chooseStandbys returns the standbys for an owner. It keeps those that are
// suitable.
func (d *draft) chooseStandbys(owner, first, second, domains int) (int, int) {
	if !d.canStandBy(first, owner, none, domains) {
		first = none
		if d.canStandBy(second, owner, none, domains) {
			first, second = second, none
		}
	}
	if first == none {
		first = d.pickStandby(owner, none, domains)
	}
	if first == none || !d.canStandBy(second, owner, first, domains) {
		second = d.pickStandby(owner, first, domains)
	}
	return first, second
}

// canStandBy reports whether candidate may be a standby of owner beside other,
// which may be none.
func (d *draft) canStandBy(candidate, owner, other, domains int) bool {
	if !d.canOwn(candidate) || candidate == owner || candidate == other {
		return false
	}
	if domains > 1 && d.servers[candidate].Domain == d.servers[owner].Domain {
		return false
	}
	return domains < 3 || other == none || d.servers[candidate].Domain != d.servers[other].Domain
}

// pickStandby returns the best standby for owner beside other, or none; see
// compareStandbys. Ties are broken at random.
func (d *draft) pickStandby(owner, other, domains int) int {
	d.countStandbyPairs()
	best, ties := none, 0
	for _, i := range d.usable {
		if !d.canStandBy(i, owner, other, domains) {
			continue
		}
		order := 1
		if best != none {
			order = d.compareStandbys(owner, i, best)
		}
		switch {
		case order > 0:
			best, ties = i, 1
		case order == 0:
			ties++
			if d.in.Random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best != none {
		d.addStandbyPair(owner, best)
	}
	return best
}

// compareStandbys returns 1 when a is the better standby for owner, -1 when b
// is, and 0 when they are equal. The more suitable server wins, then the one
// that is a standby for fewer ranges of owner, then for fewer ranges in total.
// This spreads the ranges of a lost owner over many servers.
func (d *draft) compareStandbys(owner, a, b int) int {
	if d.unsuitability(a) != d.unsuitability(b) {
		return sign(d.unsuitability(b) - d.unsuitability(a))
	}
	pairA, pairB := d.standbyPairs[owner*len(d.servers)+a], d.standbyPairs[owner*len(d.servers)+b]
	if pairA != pairB {
		return sign(int(pairB) - int(pairA))
	}
	return sign(d.servers[b].standbyCount - d.servers[a].standbyCount)
}

func sign(n int) int {
	switch {
	case n > 0:
		return 1
	case n < 0:
		return -1
	}
	return 0
}

// countStandbyPairs counts, once per draft, for how many ranges of each owner
// each server is a standby.
func (d *draft) countStandbyPairs() {
	if d.standbyPairs != nil {
		return
	}
	d.standbyPairs = make([]uint16, len(d.servers)*len(d.servers))
	for _, r := range d.ranges {
		if r.owner == none {
			continue
		}
		for _, name := range [2]string{r.FirstStandby, r.SecondStandby} {
			if i := d.serverIndex(name); i != none {
				d.addStandbyPair(r.owner, i)
			}
		}
	}
}

func (d *draft) addStandbyPair(owner, standby int) {
	d.standbyPairs[owner*len(d.servers)+standby]++
	d.servers[standby].standbyCount++
}

// usableDomains counts the failure domains that have a usable server.
func (d *draft) usableDomains() int {
	seen := map[string]bool{}
	for _, i := range d.usable {
		seen[d.servers[i].Domain] = true
	}
	return len(seen)
}

// serverName returns the name of server i, or an empty string for none.
func (d *draft) serverName(i int) string {
	if i == none {
		return ""
	}
	return d.servers[i].Name
}
