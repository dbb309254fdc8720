package shard

import "time"

// counters counts events of a tenure for the status.
type counters struct {
	ownersReplaced uint64
	movesCompleted uint64
	movesPostponed uint64
}

func (c *coordinator) publishStatus(now time.Time) {
	status := &Status{
		Shard:          c.options.Shard,
		Token:          c.tenure.Token,
		Ranges:         len(c.ranges),
		Uncommitted:    !c.assignmentInForce().Equal(c.committed),
		OwnersReplaced: c.counters.ownersReplaced,
		MovesCompleted: c.counters.movesCompleted,
		MovesPostponed: c.counters.movesPostponed,
	}
	index := make(map[string]int, len(c.config.Servers))
	for i, config := range c.config.Servers {
		s := c.servers[config.Name]
		index[config.Name] = i
		status.Servers = append(status.Servers, ServerStatus{
			Name: config.Name, State: s.plannerState(now).String(), Responsive: s.isResponsive(),
		})
	}
	for _, r := range c.ranges {
		if !c.isOpen(r) {
			status.BlockedRanges++
		}
		if i, known := index[r.owner]; known {
			status.Servers[i].Ranges++
			status.Servers[i].RequestRate += r.rate
		}
	}
	c.runtime.status.Store(status)
}
