package shard

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// handoverWait is how long requests wait for those in flight before a move that
// is not urgent is put off.
const handoverWait = 200 * time.Millisecond

// advance moves each range on as far as it can go now. It reports whether any changed.
func (t *term) advance(now time.Time) bool {
	changed := false
	for _, r := range t.rows {
		changed = t.advanceRow(r, now) || changed
	}
	if changed {
		t.listsDirty = true
		t.viewDirty = true
	}
	return changed
}

func (t *term) advanceRow(r *row, now time.Time) bool {
	switch r.phase {
	case serving:
		return t.advanceServing(r, now)
	case draining:
		return t.advanceDraining(r, now)
	default:
		return t.advanceGranting(r, now)
	}
}

// advanceServing replaces an owner whose grant has ended, or starts a move.
func (t *term) advanceServing(r *row, now time.Time) bool {
	if t.grantEnded(r, now) {
		return t.replaceOwner(r, now)
	}
	t.redirect(r, now)
	if r.want == r.owner || !t.links[r.owner].answers() || !t.links[r.want].canTake(now) {
		return false
	}
	if now.Before(r.retryAt) {
		t.alarm.at(r.retryAt)
		return false
	}
	t.startMove(r, now)
	return true
}

// redirect lets a range of a server that is taken out move to another committed
// server when its target cannot take it: requests are held until it has moved.
func (t *term) redirect(r *row, now time.Time) {
	if t.links[r.owner].usable() || t.links[r.want].canTake(now) {
		return
	}
	for _, name := range [3]string{r.first, r.second, r.home} {
		if name != r.owner && t.links[name].canTake(now) {
			r.want = name
			return
		}
	}
}

// advanceDraining hands the range over once no request is in flight.
func (t *term) advanceDraining(r *row, now time.Time) bool {
	if t.grantEnded(r, now) {
		return t.replaceOwner(r, now)
	}
	t.redirect(r, now)
	urgent := !t.links[r.owner].usable()
	if r.want == r.owner || (!urgent && !t.links[r.want].canTake(now)) {
		t.cancelMove(r)
		return true
	}
	if t.links[r.want].canTake(now) && t.generation() >= r.heldFrom && r.inFlight() == 0 {
		r.earlier = nil
		r.assignTo(r.want)
		return true
	}
	if urgent {
		return false
	}
	if limit := r.heldAt.Add(handoverWait); now.Before(limit) {
		t.alarm.at(limit)
		return false
	}
	t.putOff(r, now)
	return true
}

// advanceGranting lists the range for its owner once no other server can own any
// part of it, and serves it once the owner has acknowledged.
func (t *term) advanceGranting(r *row, now time.Time) bool {
	owner := t.links[r.owner]
	if r.listed && owner.answers() && owner.book.HasGrant(r.bounds, now) {
		t.serve(r)
		return true
	}
	if t.mustReplace(r, owner, now) && t.chooseOwner(r, now) {
		return true
	}
	if r.listed || owner == nil || !owner.usable() {
		return false
	}
	free := t.freeBy(r, owner)
	if free.After(now) {
		t.alarm.at(free)
		return false
	}
	r.listed = true
	return true
}

// mustReplace reports whether a range that waits for its owner should get another one.
func (t *term) mustReplace(r *row, owner *link, now time.Time) bool {
	if owner == nil || !owner.usable() {
		return true
	}
	if owner.condition != silent {
		return false
	}
	free := owner.book.FreeBy(r.bounds)
	if free.After(now) {
		t.alarm.at(free)
		return false
	}
	return true
}

// grantEnded reports whether the owner provably owns no part of the range any more.
func (t *term) grantEnded(r *row, now time.Time) bool {
	owner := t.links[r.owner]
	if owner == nil {
		return true
	}
	free := owner.book.FreeBy(r.bounds)
	if free.After(now) {
		t.alarm.at(free)
		return false
	}
	return true
}

// freeBy returns the time from which no server but owner can own any part of the range.
func (t *term) freeBy(r *row, owner *link) time.Time {
	free := time.Time{}
	for _, l := range t.links {
		if l == owner {
			continue
		}
		if by := l.book.FreeBy(r.bounds); by.After(free) {
			free = by
		}
	}
	for _, book := range t.graves {
		if by := book.FreeBy(r.bounds); by.After(free) {
			free = by
		}
	}
	return free
}

// replaceOwner gives a range whose grant has ended to a standby, or back to its
// owner when that answers or no standby does.
func (t *term) replaceOwner(r *row, now time.Time) bool {
	owner := t.links[r.owner]
	if owner.canTake(now) {
		r.assignTo(r.owner)
		return true
	}
	if !t.chooseOwner(r, now) {
		r.assignTo(r.owner)
		t.options.Log.Emit(events.OwnerMissing, "shard", t.options.Shard.String(), "range", r.bounds.String(), "server", r.owner)
		return true
	}
	r.abandonRequests()
	return true
}

// chooseOwner assigns the range to the first server that can take it, in the
// committed order, warm ones first. The committed owner may be back after a
// standby took over. It needs no store. It reports whether there is one.
func (t *term) chooseOwner(r *row, now time.Time) bool {
	for _, cold := range [2]bool{false, true} {
		for _, name := range [5]string{r.want, r.first, r.second, r.home, r.previous} {
			l := t.links[name]
			if name == r.owner || !l.canTake(now) || l.gate.Cold() != cold {
				continue
			}
			t.options.Log.Emit(events.OwnerReplaced, "shard", t.options.Shard.String(),
				"range", r.bounds.String(), "from", r.owner, "to", name)
			r.assignTo(name)
			t.counters.replaced++
			t.planSoon(now)
			return true
		}
	}
	return false
}

// serve opens the range at its owner.
func (t *term) serve(r *row) {
	if r.previous != "" && r.previous != r.owner {
		t.counters.moved++
		t.options.Log.Emit(events.MoveEnded, "shard", t.options.Shard.String(),
			"range", r.bounds.String(), "from", r.previous, "to", r.owner)
	}
	r.phase = serving
	r.listed = true
	r.previous = ""
	r.putOffs = 0
}
