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

// storeTimeout bounds one read or commit of a record. The store normally
// answers within milliseconds, so a longer wait means that it is unavailable.
const storeTimeout = 2 * time.Second

// errConfigChanged aborts a commit if the record no longer contains the base
// configuration.
var errConfigChanged = errors.New("keeper: the shard record contains a different witness configuration")

// execute carries out the node's effects. Publications come before the replies
// to callers, and nothing here waits for I/O.
func (k *Keeper) execute(ctx context.Context, effects authority.Effects) {
	k.publish(effects)
	for _, request := range effects.Requests {
		k.runCall(func() { k.sendRequest(ctx, request) })
	}
	for _, shard := range effects.RecordReads {
		k.runCall(func() { k.readRecord(ctx, shard) })
	}
	for _, proposal := range effects.Proposals {
		k.runCall(func() { k.commitProposal(ctx, proposal) })
	}
	for _, member := range effects.Probes {
		k.runCall(func() { k.probeMember(ctx, member) })
	}
	for _, reply := range k.pendingReplies {
		reply()
	}
	k.pendingReplies = nil
}

func (k *Keeper) publish(effects authority.Effects) {
	for _, a := range effects.AcceptedClaims {
		k.Source(a.Shard).acceptedClaim.Store(&a)
	}
	for _, c := range effects.ConfigChanges {
		k.Source(c.Shard).config.Store(&c.Config)
	}
	for _, p := range effects.TenureChanges {
		k.Source(p.Shard).publish(p.Tenure)
		k.notifyMirrorWaiters(p.Shard, p.Tenure)
	}
	for _, h := range effects.HandOvers {
		select {
		case k.handOvers <- h:
		default:
		}
	}
	for _, event := range effects.Events {
		k.logEvent(event)
	}
}

func (k *Keeper) runCall(call func()) {
	k.calls.Add(1)
	go func() {
		defer k.calls.Done()
		call()
	}()
}

// enqueueResult passes the result of a call to the node.
func (k *Keeper) enqueueResult(ctx context.Context, input func(now time.Time)) {
	// enqueue fails only if ctx or the keeper has ended; the result is not
	// needed then.
	_ = k.enqueue(ctx, input)
}

// sendRequest waits for a reply for at most two renewal intervals. A later
// reply could not extend the tenure by much, and calls to a silent witness must
// not accumulate.
func (k *Keeper) sendRequest(ctx context.Context, request authority.OutgoingRequest) {
	callCtx, cancel := context.WithTimeout(ctx, 2*k.options.Timing.RenewInterval)
	defer cancel()
	reply, err := k.options.WitnessClient.Promise(callCtx, request.To.Instance, request.To.Address, request.Request)
	k.enqueueResult(ctx, func(now time.Time) {
		if err != nil {
			k.node.PromiseFailed(now, request, errors.Is(err, authority.ErrConnectionRefused))
			return
		}
		k.node.PromiseAnswered(now, request, reply)
	})
}

func (k *Keeper) probeMember(ctx context.Context, member authority.Member) {
	callCtx, cancel := context.WithTimeout(ctx, 2*k.options.Timing.RenewInterval)
	defer cancel()
	found, err := k.options.Prober.Probe(callCtx, member.Address)
	refused := errors.Is(err, authority.ErrConnectionRefused)
	if err != nil && !refused {
		return
	}
	k.enqueueResult(ctx, func(now time.Time) { k.node.ProbeAnswered(now, member, found, refused) })
}

func (k *Keeper) readRecord(ctx context.Context, shard key.ShardID) {
	release, ok := k.acquireStore(ctx)
	if !ok {
		return
	}
	defer release()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := shardrecord.NewHandle(k.options.Store, shard).Load(callCtx)
	missing := errors.Is(err, store.ErrNotFound)
	k.enqueueResult(ctx, func(now time.Time) {
		if err != nil && !missing {
			k.logRecordFailure(shard, err)
			k.node.RecordReadFailed(now, shard)
			return
		}
		k.node.RecordRead(now, shard, record.Config, !missing)
	})
}

func (k *Keeper) commitProposal(ctx context.Context, proposal authority.Proposal) {
	release, ok := k.acquireStore(ctx)
	if !ok {
		return
	}
	defer release()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := shardrecord.NewHandle(k.options.Store, proposal.Shard).Commit(callCtx, proposalUpdate(proposal))
	k.enqueueResult(ctx, func(now time.Time) {
		if err != nil && !errors.Is(err, errConfigChanged) {
			k.logRecordFailure(proposal.Shard, err)
			k.node.ProposalFailed(now, proposal)
			return
		}
		k.node.ProposalCommitted(now, proposal, record.Config)
	})
}

// proposalUpdate returns the update of the record for a proposal, which keeps
// the assignment.
func proposalUpdate(proposal authority.Proposal) func(shardrecord.Record) (shardrecord.Record, error) {
	return func(record shardrecord.Record) (shardrecord.Record, error) {
		if !record.Config.Equal(proposal.Base) {
			return record, errConfigChanged
		}
		record.Config = proposal.Next
		return record, nil
	}
}

func (k *Keeper) acquireStore(ctx context.Context) (release func(), ok bool) {
	select {
	case k.storeSlots <- struct{}{}:
		return func() { <-k.storeSlots }, true
	case <-ctx.Done():
		return nil, false
	}
}
