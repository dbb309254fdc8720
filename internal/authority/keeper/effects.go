package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/shardrecord"
	"peridotmoor.org/peridotmoor/internal/store"
)

// storeTimeout bounds one read or commit of a record. The store answers in
// milliseconds; a longer wait means that it is not available.
const storeTimeout = 2 * time.Second

// errOtherConfig ends a commit whose base is no longer in the record.
var errOtherConfig = errors.New("keeper: the record has another configuration")

// carryOut does what the node asked for. Publications come before the answers
// to callers, and nothing here waits for I/O.
func (k *Keeper) carryOut(ctx context.Context, effects authority.Effects) {
	k.publish(effects)
	for _, send := range effects.Requests {
		k.start(func() { k.send(ctx, send) })
	}
	for _, shard := range effects.RecordReads {
		k.start(func() { k.load(ctx, shard) })
	}
	for _, proposal := range effects.Proposals {
		k.start(func() { k.commit(ctx, proposal) })
	}
	for _, member := range effects.Probes {
		k.start(func() { k.probe(ctx, member) })
	}
	for _, reply := range k.replies {
		reply()
	}
	k.replies = nil
}

func (k *Keeper) publish(effects authority.Effects) {
	for _, a := range effects.AcceptedClaims {
		k.Source(a.Shard).accepted.Store(&a)
	}
	for _, c := range effects.ConfigChanges {
		k.Source(c.Shard).config.Store(&c.Config)
	}
	for _, p := range effects.TenureChanges {
		k.Source(p.Shard).publish(p.Tenure)
		k.wakeMirrorWaiters(p.Shard, p.Tenure)
	}
	for _, h := range effects.HandOvers {
		select {
		case k.advice <- h:
		default:
		}
	}
	for _, note := range effects.Events {
		k.emit(note)
	}
}

func (k *Keeper) start(call func()) {
	k.calls.Add(1)
	go func() {
		defer k.calls.Done()
		call()
	}()
}

// report hands the outcome of a call back to the node.
func (k *Keeper) report(ctx context.Context, input func(now time.Time)) {
	// The only failures are the end of ctx and of the keeper, after which the
	// outcome is of no use.
	_ = k.do(ctx, input)
}

// send waits at most two renewals for an answer: a later one could not extend
// the tenure by much, and calls to a silent witness do not pile up.
func (k *Keeper) send(ctx context.Context, send authority.OutgoingRequest) {
	callCtx, cancel := context.WithTimeout(ctx, 2*k.options.Timing.RenewInterval)
	defer cancel()
	reply, err := k.options.WitnessClient.Promise(callCtx, send.To.Instance, send.To.Address, send.Request)
	k.report(ctx, func(now time.Time) {
		if err != nil {
			k.node.PromiseFailed(now, send, errors.Is(err, authority.ErrConnectionRefused))
			return
		}
		k.node.PromiseAnswered(now, send, reply)
	})
}

func (k *Keeper) probe(ctx context.Context, member authority.Member) {
	callCtx, cancel := context.WithTimeout(ctx, 2*k.options.Timing.RenewInterval)
	defer cancel()
	found, err := k.options.Prober.Probe(callCtx, member.Address)
	refused := errors.Is(err, authority.ErrConnectionRefused)
	if err != nil && !refused {
		return
	}
	k.report(ctx, func(now time.Time) { k.node.ProbeAnswered(now, member, found, refused) })
}

func (k *Keeper) load(ctx context.Context, shard key.ShardID) {
	release, ok := k.acquireStore(ctx)
	if !ok {
		return
	}
	defer release()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := shardrecord.NewHandle(k.options.Store, shard).Load(callCtx)
	missing := errors.Is(err, store.ErrNotFound)
	k.report(ctx, func(now time.Time) {
		if err != nil && !missing {
			k.emitRecordFailure(shard, err)
			k.node.RecordReadFailed(now, shard)
			return
		}
		k.node.RecordRead(now, shard, record.Config, !missing)
	})
}

func (k *Keeper) commit(ctx context.Context, proposal authority.Proposal) {
	release, ok := k.acquireStore(ctx)
	if !ok {
		return
	}
	defer release()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := shardrecord.NewHandle(k.options.Store, proposal.Shard).Commit(callCtx, applyTo(proposal))
	k.report(ctx, func(now time.Time) {
		if err != nil && !errors.Is(err, errOtherConfig) {
			k.emitRecordFailure(proposal.Shard, err)
			k.node.ProposalFailed(now, proposal)
			return
		}
		k.node.ProposalCommitted(now, proposal, record.Config)
	})
}

// applyTo returns the change of the record for a proposal; the assignment stays.
func applyTo(proposal authority.Proposal) func(shardrecord.Record) (shardrecord.Record, error) {
	return func(record shardrecord.Record) (shardrecord.Record, error) {
		if !record.Config.Equal(proposal.Base) {
			return record, errOtherConfig
		}
		record.Config = proposal.Next
		return record, nil
	}
}

func (k *Keeper) acquireStore(ctx context.Context) (release func(), ok bool) {
	select {
	case k.storing <- struct{}{}:
		return func() { <-k.storing }, true
	case <-ctx.Done():
		return nil, false
	}
}
