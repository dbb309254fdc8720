package gateway

import (
	"sync"
	"time"
)

// capRefusals counts the requests refused by the caps of teams, to log them at intervals. It
// is safe for concurrent use.
type capRefusals struct {
	teams sync.Map // team to *teamRefusals
}

// add counts a refusal, and returns the number of those to log now, or 0: the first one, and
// then those of each interval together.
func (c *capRefusals) add(now time.Time, team string) int64 {
	t, known := c.teams.Load(team)
	if !known {
		t, _ = c.teams.LoadOrStore(team, &teamRefusals{})
	}
	refusals := t.(*teamRefusals)
	refusals.count.Add(1)
	last := refusals.loggedAt.Load()
	if now.UnixNano()-last < int64(capLogInterval) || !refusals.loggedAt.CompareAndSwap(last, now.UnixNano()) {
		return 0
	}
	return refusals.count.Swap(0)
}
