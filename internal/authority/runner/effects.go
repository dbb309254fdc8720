package runner

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

// execute carries out the node's effects. Changes of tenure are published before
// callers get their replies, and nothing here waits for I/O.
func (r *Runner) execute(ctx context.Context, effects authority.Effects) {
	r.publish(effects)
	for _, request := range effects.Requests {
		r.runCall(func() { r.sendRequest(ctx, request) })
	}
	for _, shard := range effects.RecordReads {
		r.runCall(func() { r.readRecord(ctx, shard) })
	}
	for _, proposal := range effects.Proposals {
		r.runCall(func() { r.commitProposal(ctx, proposal) })
	}
	for _, member := range effects.Probes {
		r.runCall(func() { r.probeMember(ctx, member) })
	}
	for _, reply := range r.pendingReplies {
		reply()
	}
	r.pendingReplies = nil
}

func (r *Runner) publish(effects authority.Effects) {
	for _, a := range effects.AcceptedClaims {
		r.Source(a.Shard).acceptedClaim.Store(&a)
	}
	for _, c := range effects.ConfigChanges {
		r.Source(c.Shard).config.Store(&c.Config)
	}
	for _, p := range effects.TenureChanges {
		r.Source(p.Shard).publish(p.Tenure)
		r.notifyMirrorWaiters(p.Shard, p.Tenure)
	}
	for _, h := range effects.HandOvers {
		select {
		case r.handOvers <- h:
		default:
		}
	}
	for _, event := range effects.Events {
		r.logEvent(event)
	}
}

func (r *Runner) runCall(call func()) {
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		call()
	}()
}

// enqueueResult passes the result of a call to the node.
func (r *Runner) enqueueResult(ctx context.Context, input func(now time.Time)) {
	// enqueue fails only if ctx or the Runner has ended; the result is not
	// needed then.
	_ = r.enqueue(ctx, input)
}

// sendRequest waits for a reply for at most two renewal intervals. A later
// reply could not extend the tenure by much, and calls to a silent witness must
// not accumulate.
func (r *Runner) sendRequest(ctx context.Context, request authority.OutgoingRequest) {
	callCtx, cancel := context.WithTimeout(ctx, 2*r.options.Timing.RenewInterval)
	defer cancel()
	reply, err := r.options.WitnessClient.Promise(callCtx, request.To.Instance, request.To.Address, request.Request)
	r.enqueueResult(ctx, func(now time.Time) {
		if err != nil {
			r.node.PromiseFailed(now, request, errors.Is(err, authority.ErrConnectionRefused))
			return
		}
		r.node.PromiseAnswered(now, request, reply)
	})
}

func (r *Runner) probeMember(ctx context.Context, member authority.Member) {
	callCtx, cancel := context.WithTimeout(ctx, 2*r.options.Timing.RenewInterval)
	defer cancel()
	found, err := r.options.Prober.Probe(callCtx, member.Address)
	if err != nil {
		return
	}
	r.enqueueResult(ctx, func(now time.Time) { r.node.ProbeAnswered(now, member, found) })
}

func (r *Runner) readRecord(ctx context.Context, shard key.ShardID) {
	release, ok := r.acquireStore(ctx)
	if !ok {
		return
	}
	defer release()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := shardrecord.NewHandle(r.options.Store, shard).Load(callCtx)
	missing := errors.Is(err, store.ErrNotFound)
	r.enqueueResult(ctx, func(now time.Time) {
		if err != nil && !missing {
			r.logRecordFailure(shard, err)
			r.node.RecordReadFailed(now, shard)
			return
		}
		r.node.RecordRead(now, shard, record.Config, !missing)
	})
}

func (r *Runner) commitProposal(ctx context.Context, proposal authority.Proposal) {
	release, ok := r.acquireStore(ctx)
	if !ok {
		return
	}
	defer release()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := shardrecord.NewHandle(r.options.Store, proposal.Shard).Commit(callCtx, proposalUpdate(proposal))
	r.enqueueResult(ctx, func(now time.Time) {
		if err != nil && !errors.Is(err, errConfigChanged) {
			r.logRecordFailure(proposal.Shard, err)
			r.node.ProposalFailed(now, proposal)
			return
		}
		r.node.ProposalCommitted(now, proposal, record.Config)
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

func (r *Runner) acquireStore(ctx context.Context) (release func(), ok bool) {
	select {
	case r.storeSlots <- struct{}{}:
		return func() { <-r.storeSlots }, true
	case <-ctx.Done():
		return nil, false
	}
}
