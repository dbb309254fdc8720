package owners

// planConsolidate joins ranges with hardly any requests to their neighbours once there are many
// ranges: each is renewed separately and recorded. Parts of hot keys stay behind as such ranges
// when the keys have cooled down.
func (t *Table) planConsolidate(service string, loads *serviceLoads) {
	limit := maxConcurrentMoves(len(loads.usable()))
	ranges := t.services[service]
	excess := len(ranges) - maxRangesOnAverage*len(loads.usable())
	largest := NumKeys / len(loads.usable()) / minConsolidatedParts
	for i := 1; i < len(ranges) && excess > 0; i++ {
		r, neighbour := ranges[i], ranges[i-1]
		if r.Size() > largest || r.owner == neighbour.owner || !t.movable(r) || !t.movable(neighbour) || loads.rateOf(r.Interval) >= idleRangeRate {
			continue
		}
		from, to := loads.byName[r.owner.Name], loads.byName[neighbour.owner.Name]
		if from == nil || to == nil || !to.Usable || to.Cold || from.keys == r.Size() {
			continue
		}
		if t.movesInProgress(service) >= limit {
			return
		}
		loads.transfer(r.Interval, from, to)
		t.move(service, r, to.Incarnation, MoveConsolidated)
		excess--
	}
}
