package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// maxGrantsPerLine bounds a log line to about 8 KB. A tenure that begins or ends with eight
// ranges on each of 400 servers writes 100 lines, which is below the limit of the logger.
const maxGrantsPerLine = 32

// logGrants logs the grants that are new or not renewed any more. It is called with each
// tick, so that the lines of a second are bounded however often ranges change.
func (c *Coordinator) logGrants() {
	var given, ended []grantLine
	for _, g := range c.table.TakeGrantChanges() {
		if g.End == owners.GrantGoesOn {
			given = append(given, newGrantLine(g))
		} else {
			ended = append(ended, newGrantLine(g))
		}
	}
	for len(given) > 0 {
		n := min(len(given), maxGrantsPerLine)
		c.log.Emit(events.KeysGranted, "epoch", c.epoch, "grants", given[:n])
		given = given[n:]
	}
	for len(ended) > 0 {
		n := min(len(ended), maxGrantsPerLine)
		c.log.Emit(events.KeyGrantsEnded, "epoch", c.epoch, "grants", ended[:n])
		ended = ended[n:]
	}
}

// endGrants makes logGrants log the grants that the tenure leaves behind, and returns until
// when, from now on, one of them may be valid. The event loop must have ended.
func (c *Coordinator) endGrants(now time.Time) time.Duration {
	until := c.table.EndTenure(now)
	if until.IsZero() {
		return 0
	}
	return until.Sub(now)
}
