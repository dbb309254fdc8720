package record

import (
	"context"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
)

// ReplicatedTable holds the request records of one shard during one tenure: it takes them
// over from the previous holder, keeps them in a table and copies them to the mirrors.
type ReplicatedTable struct {
	table      *Table
	replicator *replicator
	source     authority.Instance
}

// Open takes over the records of the previous holder and starts to copy to the
// candidates set by SetCandidates. When no member of the latest mirror set can be
// reached, the outcome of every request created up to now counts as unknown.
func Open(ctx context.Context, o ReplicatedTableOptions) *ReplicatedTable {
	options := o.Options.withDefaults()
	t := &takeover{
		shard: o.Shard, token: o.Token, mirrorClient: o.MirrorClient,
		set: o.MirrorSets.Mirrors(), firstTenure: o.FirstTenure, maxClockSkew: options.MaxClockSkew,
	}
	records, since := t.run(ctx)
	table := NewTable(options, records, since)
	r := &replicator{shard: o.Shard, self: o.Self, mirrorClient: o.MirrorClient, sets: o.MirrorSets, table: table, source: t.source, events: o.Events}
	r.token.Store(&o.Token)
	r.start()
	o.Events.Emit(events.RecordsTakenOver, "shard", o.Shard.String(), "token", o.Token.String(),
		"records", len(records), "source", t.source.Name, "complete_since", since.UTC().Format(time.RFC3339Nano))
	return &ReplicatedTable{table: table, replicator: r, source: t.source}
}

// Source returns the mirror that the records were fetched from, or the zero instance
// when there was none. It joins soonest when it is the first candidate in
// SetCandidates, since it needs no backfill.
func (t *ReplicatedTable) Source() authority.Instance {
	return t.source
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
	t.replicator.close()
}
