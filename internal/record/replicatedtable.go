package record

import (
	"context"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
)

// ReplicatedTable holds the request records of one shard during one tenure: the table,
// its copies at the mirrors and the takeover from the holder before.
type ReplicatedTable struct {
	table      *Table
	replicator *replicator
	source     authority.Instance
}

// Open takes over the records of the previous holder and starts to copy to the
// candidates set by SetCandidates. When no member of the latest mirror set can be
// reached, every request created up to now counts as unknown.
func Open(ctx context.Context, o ReplicatedTableOptions) *ReplicatedTable {
	options := o.Options.withDefaults()
	t := &takeover{
		shard: o.Shard, token: o.Token, copier: o.MirrorClient,
		set: o.MirrorSets.Mirrors(), firstTenure: o.FirstTenure, maxClockSkew: options.MaxClockSkew,
	}
	records, since := t.run(ctx)
	table := NewTable(options, records, since)
	r := &replicator{shard: o.Shard, self: o.Self, copier: o.MirrorClient, sets: o.MirrorSets, table: table, source: t.source, events: o.Events}
	r.token.Store(&o.Token)
	r.start()
	o.Events.Emit(events.RecordsTakenOver, "shard", o.Shard.String(), "token", o.Token.String(),
		"records", len(records), "source", t.source.Name, "complete_since", since.UTC().Format(time.RFC3339Nano))
	return &ReplicatedTable{table: table, replicator: r, source: t.source}
}

// Source returns the mirror that the records were fetched from, or the zero
// instance when there was none. Named first in SetCandidates it joins soonest,
// since it needs no backfill.
func (k *ReplicatedTable) Source() authority.Instance {
	return k.source
}

// CompleteSince returns the creation time from which on all requests are known.
func (k *ReplicatedTable) CompleteSince() time.Time {
	return k.table.CompleteSince()
}

// Len returns the number of records.
func (k *ReplicatedTable) Len() int {
	return k.table.Len()
}

// SetCandidates names the instances that may become mirrors, best first:
// witnesses in other failure domains than the holder. The holder itself is left
// out. The call waits while a mirror set is being proposed, at most 500 ms.
func (k *ReplicatedTable) SetCandidates(candidates []authority.Instance) {
	self := k.replicator.self
	others := slices.DeleteFunc(slices.Clone(candidates), func(i authority.Instance) bool { return i == self })
	k.replicator.post(func(c *controller) { c.candidates = others })
}

// SetToken replaces the token after the same holder has raised the epoch. Like
// SetCandidates it waits while a mirror set is being proposed.
func (k *ReplicatedTable) SetToken(token authority.Token) {
	k.replicator.token.Store(&token)
	k.replicator.post((*controller).resumeAfterTokenRaise)
}

// Mirrors returns the members of the mirror set acknowledged last.
func (k *ReplicatedTable) Mirrors() []authority.Instance {
	return k.replicator.targets.Load().members
}

// Begin decides what to do with a non-idempotent request that has arrived.
func (k *ReplicatedTable) Begin(requestKey, id string, digest uint64, now time.Time) Decision {
	return k.table.Begin(requestKey, id, digest, now)
}

// Ready returns nil while mirrors hold the records. Otherwise the error is a
// *problem.Problem with outcome "not run".
func (k *ReplicatedTable) Ready() error {
	return k.replicator.ready()
}

// Copy returns nil once all mirrors know that the run may be dispatched. The
// error is a *problem.Problem with outcome "not run".
func (k *ReplicatedTable) Copy(ctx context.Context, run *Execution) error {
	return k.replicator.copyToAll(ctx, run.DispatchedRecord())
}

// Conclude ends the run, wakes everyone who joined it and passes the end on to
// the mirrors without waiting for them. A request that did not run stays
// dispatched at the mirrors, which is the safe side.
func (k *ReplicatedTable) Conclude(run *Execution, r Record) {
	r = k.table.Conclude(run, r)
	if r.State != NotRun {
		k.replicator.enqueue(r)
	}
}

// Expire drops records older than the retention; the caller runs it once a second
// so that an idle shard frees its memory too.
func (k *ReplicatedTable) Expire(now time.Time) {
	k.table.Expire(now)
}

// Close stops copying. Requests whose copies are pending are refused "not run".
func (k *ReplicatedTable) Close() {
	k.replicator.close()
}
