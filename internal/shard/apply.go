package shard

import (
	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/key"
)

// apply puts a committed assignment into force. before is what the plan started
// from: where an owner was replaced since, the replacement stays.
func (t *term) apply(before, next assign.Assignment) {
	planned := make(map[key.Range]string, len(before.Ranges))
	for _, r := range before.Ranges {
		planned[r.Bounds] = r.Owner
	}
	rows := make([]*row, 0, len(next.Ranges))
	old := t.rows
	for i := 0; i < len(next.Ranges); {
		taken, parts := matchRows(old, next.Ranges[i:])
		rows = append(rows, t.rebuild(old[:taken], next.Ranges[i:i+parts], planned)...)
		old = old[taken:]
		i += parts
	}
	t.rows = rows
	t.listsDirty = true
	t.viewDirty = true
}

// matchRows returns how many rows and how many ranges, from the first ones on,
// cover the same hashes. No rows match the ranges of a first plan.
func matchRows(rows []*row, ranges []assign.Range) (taken, parts int) {
	if len(rows) == 0 {
		return 0, 1
	}
	taken, parts = 1, 1
	for {
		a, b := rows[taken-1].bounds.Last(), ranges[parts-1].Bounds.Last()
		switch {
		case a == b:
			return taken, parts
		case a < b:
			taken++
		default:
			parts++
		}
	}
}

// rebuild returns the rows for ranges that cover the same hashes as old.
func (t *term) rebuild(old []*row, ranges []assign.Range, planned map[key.Range]string) []*row {
	if len(old) > 1 && !joinable(old) {
		return old
	}
	rows := make([]*row, len(ranges))
	for i, r := range ranges {
		switch {
		case len(old) == 0:
			rows[i] = newRow(r.Bounds)
			rows[i].owner, rows[i].want = r.Owner, r.Owner
		case len(old) == 1 && len(ranges) == 1:
			rows[i] = old[0]
		default:
			rows[i] = derive(old, r.Bounds, len(ranges))
			rows[i].derivedFrom = t.generation() + 1
		}
		if len(old) > 0 && planned[old[0].bounds] == old[0].want {
			rows[i].want = r.Owner
		}
		rows[i].setCommitted(r)
	}
	return rows
}

// joinable reports whether the rows have one owner and none is being moved.
func joinable(rows []*row) bool {
	for _, r := range rows {
		if r.phase != serving || r.owner != rows[0].owner || r.want != rows[0].want {
			return false
		}
	}
	return true
}

// derive returns a row with new bounds that takes over the owner and the requests
// in flight of the rows that it replaces.
func derive(old []*row, bounds key.Range, parts int) *row {
	next := newRow(bounds)
	first := old[0]
	next.owner, next.want, next.previous = first.owner, first.want, first.previous
	next.phase, next.listed = first.phase, first.listed
	next.heldFrom, next.heldAt = first.heldFrom, first.heldAt
	next.retryAt, next.putOffs = first.retryAt, first.putOffs
	for _, r := range old {
		next.earlier = append(next.earlier, r.state)
		next.earlier = append(next.earlier, r.earlier...)
		next.rate += r.rate / float64(parts)
		r.stopWatching()
	}
	return next
}
