package assign

// none is the index that stands for no server or no range.
const none = -1

// draft is the working state of one plan.
type draft struct {
	in      Input
	servers []draftServer
	index   map[string]int
	// usable lists the indexes of the servers that may own ranges.
	usable []int
	ranges []draftRange
	// meanLoad is the load per usable server, including the base load of its
	// ranges.
	meanLoad float64
	// baseLoad is added to the load of each range, so that ranges without
	// requests are spread over the servers too.
	baseLoad     float64
	movesLeft    int
	standbyPairs []uint16

	moves          []Move
	splits         []Split
	merges         []Merge
	standbyChanges []StandbyChange
}

// baseLoadShare is the base load as a share of the mean load of a range.
const baseLoadShare = 0.05

func newDraft(in Input) *draft {
	d := &draft{in: in, index: make(map[string]int, len(in.Servers))}
	d.servers = make([]draftServer, len(in.Servers))
	for i, s := range in.Servers {
		d.servers[i].Server = s
		d.index[s.Name] = i
		if s.State.Usable() {
			d.usable = append(d.usable, i)
		}
	}
	d.setBaseLoad()
	d.addRanges()
	return d
}

// setBaseLoad sets the base load and the mean load of a usable server.
func (d *draft) setBaseLoad() {
	total := 0.0
	for _, load := range d.in.Loads {
		total += load
	}
	count := float64(max(len(d.in.Current.Ranges), 1))
	d.baseLoad = baseLoadShare * total / count
	if total == 0 {
		d.baseLoad = 1
	}
	d.meanLoad = (total + d.baseLoad*count) / float64(max(len(d.usable), 1))
}

func (d *draft) addRanges() {
	d.ranges = make([]draftRange, len(d.in.Current.Ranges), len(d.in.Current.Ranges)+8)
	for i, r := range d.in.Current.Ranges {
		next := draftRange{Range: r, owner: d.serverIndex(r.Owner), load: d.baseLoad}
		if i < len(d.in.Loads) {
			next.load += d.in.Loads[i]
		}
		if i < len(d.in.Moving) {
			next.moving = d.in.Moving[i]
		}
		d.ranges[i] = next
		d.addToOwner(next, 1)
	}
}

func (d *draft) serverIndex(name string) int {
	if i, known := d.index[name]; known {
		return i
	}
	return none
}

// addToOwner adds the range to its owner's load and count, or removes it when
// sign is -1.
func (d *draft) addToOwner(r draftRange, sign int) {
	if r.owner == none {
		return
	}
	d.servers[r.owner].load += float64(sign) * r.load
	d.servers[r.owner].rangeCount += sign
}

// ownerUsable reports whether the range's owner may keep it.
func (d *draft) ownerUsable(r draftRange) bool {
	return r.owner != none && d.servers[r.owner].State.Usable()
}

// move assigns range i to the server with index to.
func (d *draft) move(i, to int, reason Reason, urgent bool) {
	r := &d.ranges[i]
	from := r.Owner
	d.addToOwner(*r, -1)
	r.owner = to
	r.Owner = d.servers[to].Name
	d.addToOwner(*r, 1)
	r.moving = true
	d.moves = append(d.moves, Move{Bounds: r.Bounds, From: from, To: r.Owner, Reason: reason, Urgent: urgent})
	if !urgent {
		d.movesLeft--
	}
}

func (d *draft) plan() Plan {
	next := Assignment{Ranges: make([]Range, len(d.ranges))}
	for i, r := range d.ranges {
		next.Ranges[i] = r.Range
	}
	return Plan{Next: next, Moves: d.moves, Splits: d.splits, Merges: d.merges, Standbys: d.standbyChanges}
}
