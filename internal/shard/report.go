package shard

import "time"

// counters are the events that a term counts for its status.
type counters struct {
	replaced uint64
	moved    uint64
	putOff   uint64
}

// report publishes the status of the term.
func (t *term) report(now time.Time) {
	status := &Status{
		Shard:          t.options.Shard,
		Token:          t.tenure.Token,
		Ranges:         len(t.rows),
		Uncommitted:    !t.effective().Equal(t.committed),
		OwnersReplaced: t.counters.replaced,
		MovesCompleted: t.counters.moved,
		MovesPostponed: t.counters.putOff,
	}
	index := make(map[string]int, len(t.config.Servers))
	for i, c := range t.config.Servers {
		l := t.links[c.Name]
		index[c.Name] = i
		status.Servers = append(status.Servers, ServerStatus{
			Name: c.Name, State: l.plannedState(now).String(), Responsive: l.answers(),
		})
	}
	for _, r := range t.rows {
		if !t.open(r) {
			status.BlockedRanges++
		}
		if i, known := index[r.owner]; known {
			status.Servers[i].Ranges++
			status.Servers[i].RequestRate += r.rate
		}
	}
	t.runtime.status.Store(status)
}
