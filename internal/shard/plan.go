package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/events"
)

// planEvery is the time between two plans without a cause, which also keeps the
// writes of a shard to the store at 2 a second.
const planEvery = 500 * time.Millisecond

// commitTimeout bounds one attempt to commit.
const commitTimeout = 3 * time.Second

// planSoon makes a plan due not before at.
func (t *term) planSoon(at time.Time) {
	if at.Before(t.planAt) {
		t.planAt = at
	}
}

// plan plans the shard when that is due. Moves off servers that are taken out go
// to committed standbys at once; everything else waits for the commit.
func (t *term) plan(now time.Time) {
	if !t.loaded || !t.config.Keyed || t.quiesce != nil || !t.heardAll() {
		return
	}
	if now.Before(t.planAt) {
		t.alarm.at(t.planAt)
		return
	}
	t.planAt = now.Add(planEvery)
	t.alarm.at(t.planAt)
	t.dropVoidMoves(now)
	before := t.effective()
	plan := t.planner.Plan(t.planInput(before, now))
	t.startUrgent(plan)
	if t.committing || now.Before(t.commitAt) || plan.Next.Equal(t.committed) || len(plan.Next.Ranges) == 0 {
		return
	}
	t.commit(before, plan.Next)
}

// dropVoidMoves leaves ranges with their owners when the server that they should
// move to is gone. The plan would move them to a standby instead.
func (t *term) dropVoidMoves(now time.Time) {
	for _, r := range t.rows {
		want := t.links[r.want]
		if r.want != r.owner && t.links[r.owner].usable() && (!want.usable() || want.lost(now)) {
			r.want = r.owner
		}
	}
}

// heardAll reports whether the first call to every server has ended.
func (t *term) heardAll() bool {
	for _, l := range t.links {
		if l.condition == unknown && !l.removed {
			return false
		}
	}
	return true
}

// effective returns the assignment as it is in force, with the standbys that
// took over since the last commit.
func (t *term) effective() assign.Assignment {
	a := assign.Assignment{Ranges: make([]assign.Range, len(t.rows))}
	for i, r := range t.rows {
		a.Ranges[i] = assign.Range{Bounds: r.bounds, Owner: r.want, FirstStandby: r.first, SecondStandby: r.second}
	}
	return a
}

func (t *term) planInput(current assign.Assignment, now time.Time) assign.Input {
	in := assign.Input{
		Interval: t.options.Interval,
		Servers:  t.planServers(now),
		Current:  current,
		Loads:    make([]float64, len(t.rows)),
		Moving:   make([]bool, len(t.rows)),
		HotKeys:  t.hotKeys(),
		Settings: t.config.Planner,
		Now:      now,
		Random:   t.options.Random,
	}
	for i, r := range t.rows {
		in.Loads[i] = r.rate
		in.Moving[i] = r.phase != serving || r.want != r.owner
	}
	return in
}

// planServers lists the servers in the order of the settings.
func (t *term) planServers(now time.Time) []assign.Server {
	latencies := make(map[string]time.Duration, len(t.links))
	for name, l := range t.links {
		latencies[name] = l.gate.Latency()
	}
	slow := t.slow.Flag(latencies, now)
	servers := make([]assign.Server, 0, len(t.links))
	for _, c := range t.config.Servers {
		l := t.links[c.Name]
		servers = append(servers, assign.Server{
			Name: c.Name, Domain: c.Domain, State: l.plannedState(now),
			Slow: slow[c.Name], Unresponsive: l.condition == silent,
		})
	}
	return servers
}

// plannedState returns the state of the server as the planner sees it.
func (l *link) plannedState(now time.Time) assign.ServerState {
	switch {
	case l.config.Out:
		return assign.OutOfService
	case l.leaving:
		return assign.Leaving
	case l.lost(now):
		return assign.Lost
	case l.gate.Cold():
		return assign.Cold
	default:
		return assign.InService
	}
}

// startUrgent starts the moves off servers that are taken out whose target is
// committed for the range. They need no store, so that an outage of the store delays
// no departure.
func (t *term) startUrgent(plan assign.Plan) {
	for _, m := range plan.Moves {
		if !m.Urgent {
			continue
		}
		for _, r := range t.rows {
			if r.bounds == m.Bounds && r.isCommitted(m.To) {
				r.want = m.To
			}
		}
	}
}

func (t *term) commit(before, next assign.Assignment) {
	t.committing = true
	commits, results, ctx := t.options.Commits, t.commits, t.ctx
	t.runtime.senders.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		err := commits.Commit(ctx, next)
		results <- commitResult{before: before, next: next, err: err}
	})
}

// commitEnded puts a committed assignment into force, or puts the next commit off.
func (t *term) commitEnded(result commitResult, now time.Time) {
	t.committing = false
	if result.err != nil {
		t.commitAt = now.Add(storeBackoff(t.commitErrors))
		t.commitErrors++
		t.planSoon(t.commitAt)
		t.options.Log.Emit(events.ShardCommitFailed, "shard", t.options.Shard.String(), "error", result.err.Error())
		return
	}
	t.commitErrors = 0
	t.committed = result.next
	t.apply(result.before, result.next)
	t.options.Log.Emit(events.ShardCommitted, "shard", t.options.Shard.String(), "ranges", len(result.next.Ranges))
}
