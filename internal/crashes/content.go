package crashes

import (
	"slices"
	"time"
)

// content is the immutable state of one request content.
type content struct {
	// losses holds at least one loss, ordered by time.
	losses []Loss
}

// blocks reports whether the request has crashed too many servers.
func (c *content) blocks(now time.Time) bool {
	n := 0
	for _, l := range c.losses {
		if l.counts(now) {
			n++
		}
	}
	return n >= MaxLosses
}

// merge returns the losses with those of the argument, which counts once if it is known:
// from its earliest time, and not if anyone has excused it. Only the newest losses are
// kept. It returns false if that changes nothing.
func (c *content) merge(l Loss) ([]Loss, bool) {
	i := slices.IndexFunc(c.losses, func(known Loss) bool { return known.ID == l.ID })
	if i < 0 {
		losses := append(slices.Clone(c.losses), l)
		slices.SortStableFunc(losses, func(a, b Loss) int { return a.At.Compare(b.At) })
		return losses[max(0, len(losses)-maxLossesPerContent):], true
	}
	known := c.losses[i]
	merged := known
	merged.Excused = known.Excused || l.Excused
	if l.At.Before(known.At) {
		merged.At = l.At
	}
	if merged == known {
		return nil, false
	}
	losses := slices.Clone(c.losses)
	losses[i] = merged
	return losses, true
}

// excuse returns the losses with the one of that ID excused, or all if it is 0. It returns
// false if that changes nothing.
func (c *content) excuse(id uint64) ([]Loss, bool) {
	losses := slices.Clone(c.losses)
	changed := false
	for i := range losses {
		if (id == 0 || losses[i].ID == id) && !losses[i].Excused {
			losses[i].Excused, changed = true, true
		}
	}
	return losses, changed
}

// worthTelling reports whether instances that have not seen the losses need to know of
// them: of an excuse, or because the request is to be refused.
func (c *content) worthTelling(now time.Time) bool {
	return c.blocks(now) || slices.ContainsFunc(c.losses, func(l Loss) bool { return l.Excused })
}

// lastAt returns the time of the newest loss.
func (c *content) lastAt() time.Time {
	return c.losses[len(c.losses)-1].At
}
