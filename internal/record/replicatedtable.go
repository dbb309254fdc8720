package record

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
)

// ReplicatedTable holds the request records of one shard during one tenure: it takes them
// over from the previous holder, keeps them in a table and copies them to the mirrors.
type ReplicatedTable struct {
	table      *Table
	replicator *replicator
	// source is the mirror that the records were fetched from, or nil.
	source atomic.Pointer[authority.Instance]
	// takenOver is closed once the records have been taken over or given up.
	takenOver  chan struct{}
	endFetches context.CancelFunc
}

// prefetchTime is how long Open waits for the records. It adds no delay for servers that do
// not check tokens: a new holder waits 200 ms before its first order to them anyway.
const prefetchTime = 200 * time.Millisecond

// Open takes over the records of the previous holder and starts to copy to the
// candidates set by SetCandidates. It returns after prefetchTime at the latest. If no member
// of the latest mirror set has answered by then, requests wait for the records in
// AwaitRecords, and no mirror joins, since it would take its copy for complete. Once the
// records are given up, the outcome of every request created up to the call counts as unknown.
func Open(ctx context.Context, o ReplicatedTableOptions) *ReplicatedTable {
	options := o.Options.withDefaults()
	since := time.UnixMilli(1)
	if !o.FirstTenure {
		since = time.Now().Add(2 * options.MaxClockSkew)
	}
	table := NewTable(options, nil, since)
	r := &replicator{shard: o.Shard, self: o.Self, mirrorClient: o.MirrorClient, sets: o.MirrorSets, table: table, events: o.Events}
	r.token.Store(&o.Token)
	t := &ReplicatedTable{table: table, replicator: r, takenOver: make(chan struct{})}
	// Requests created later than since need no records of the previous holder.
	fetchCtx, cancel := context.WithDeadline(context.Background(), since)
	t.endFetches = cancel
	r.start()
	r.running.Go(func() { t.takeOver(fetchCtx, o) })
	select {
	case <-t.takenOver:
	case <-time.After(prefetchTime):
	case <-ctx.Done():
	}
	return t
}

// takeOver fetches the records of the previous holder and lets the mirrors join.
func (t *ReplicatedTable) takeOver(ctx context.Context, o ReplicatedTableOptions) {
	defer t.endFetches()
	r := t.replicator
	var found fetchResult
	if !o.FirstTenure {
		fetches := &takeover{shard: o.Shard, token: func() authority.Token { return *r.token.Load() }, mirrorClient: o.MirrorClient, set: o.MirrorSets.Mirrors()}
		var err error
		if found, err = fetches.run(ctx); err == nil {
			t.table.takeOver(found.records, found.completeSince)
			t.source.Store(&found.from)
		}
	}
	r.post(func(c *controller) { c.endTakeover(found.from) })
	o.Events.Emit(events.RecordsTakenOver, "shard", o.Shard.String(), "token", o.Token.String(),
		"records", len(found.records), "source", found.from.Name, "complete_since", t.table.CompleteSince().UTC().Format(time.RFC3339Nano))
	close(t.takenOver)
}

// AwaitRecords waits until the records of the previous holder have been taken over or given
// up, or until the caller of the request cannot wait longer. The error is a
// *problem.Problem with outcome "not run": this holder has stopped.
func (t *ReplicatedTable) AwaitRecords(ctx context.Context) error {
	select {
	case <-t.takenOver:
	default:
		if deadline, ok := ctx.Deadline(); ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(maxWaitFraction*float64(time.Until(deadline))))
			defer cancel()
		}
		select {
		case <-t.takenOver:
		case <-ctx.Done():
		}
		if t.replicator.isClosed() {
			return stoppedProblem(t.replicator)
		}
	}
	return nil
}

// Source returns the mirror that the records were fetched from, or the zero instance
// when there was none or none has answered yet. It joins soonest when it is the first
// candidate in SetCandidates, since it needs no backfill.
func (t *ReplicatedTable) Source() authority.Instance {
	if source := t.source.Load(); source != nil {
		return *source
	}
	return authority.Instance{}
}

// CompleteSince returns the creation time since which every request has a record.
func (t *ReplicatedTable) CompleteSince() time.Time {
	return t.table.CompleteSince()
}

func (t *ReplicatedTable) Len() int {
	return t.table.Len()
}

// SetCandidates sets the instances that may become mirrors, best first. The holder itself
// is ignored. The call waits while a mirror set is being proposed, at most 500 ms.
func (t *ReplicatedTable) SetCandidates(candidates []authority.Instance) {
	self := t.replicator.self
	others := slices.DeleteFunc(slices.Clone(candidates), func(i authority.Instance) bool { return i == self })
	t.replicator.post(func(c *controller) { c.candidates = others })
}

// SetToken replaces the token after the same holder has raised the epoch. Like
// SetCandidates, it waits while a mirror set is being proposed.
func (t *ReplicatedTable) SetToken(token authority.Token) {
	t.replicator.token.Store(&token)
	t.replicator.post((*controller).resumeAfterTokenRaise)
}

// Mirrors returns the members of the mirror set acknowledged last.
func (t *ReplicatedTable) Mirrors() []authority.Instance {
	return t.replicator.targets.Load().members
}

// Begin decides what to do with a non-idempotent request that has arrived.
func (t *ReplicatedTable) Begin(requestKey, id string, digest uint64, now time.Time) Decision {
	return t.table.Begin(requestKey, id, digest, now)
}

// Ready returns nil while the mirror set has members. Otherwise the error is a
// *problem.Problem with outcome "not run".
func (t *ReplicatedTable) Ready() error {
	return t.replicator.ready()
}

// Copy returns nil once all mirrors have the dispatched record of the execution, so that
// the request may be sent to a server. The error is a *problem.Problem with outcome
// "not run".
func (t *ReplicatedTable) Copy(ctx context.Context, execution *Execution) error {
	execution.copied.Store(true)
	return t.replicator.copyToAll(ctx, execution.DispatchedRecord())
}

// Conclude ends the execution, wakes the requests that joined it and sends the final
// record to the mirrors without waiting for them. A mirror that does not get it counts
// the request as dispatched, which is safe: after a takeover its outcome is unknown.
func (t *ReplicatedTable) Conclude(execution *Execution, r Record) {
	r = t.table.Conclude(execution, r)
	if r.State != NotRun || execution.copied.Load() {
		t.replicator.enqueue(r)
	}
}

// Flush waits until the mirrors have all records that were sent to them before, or until
// ctx ends.
func (t *ReplicatedTable) Flush(ctx context.Context) {
	select {
	case <-t.replicator.enqueueMark().done:
	case <-ctx.Done():
	}
}

// Expire drops records older than the retention. The owner calls it once a second, so
// that an idle shard frees its memory too.
func (t *ReplicatedTable) Expire(now time.Time) {
	t.table.Expire(now)
}

// Close stops copying. Requests whose copies are pending are refused with outcome "not run".
func (t *ReplicatedTable) Close() {
	t.replicator.markClosed()
	t.endFetches()
	t.replicator.running.Wait()
}
