package dispatch

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/record"
	"peridotmoor.org/peridotmoor/internal/request"
)

// runRecorded handles a non-idempotent request. Its record decides whether it runs,
// joins an execution, gets the recorded response or is refused.
func (h *requestHandler) runRecorded(ctx context.Context) (*request.Response, error) {
	if p := h.awaitRecords(ctx); p != nil {
		return h.finish(nil, p)
	}
	decision := h.dispatcher.beginRecord(h.request, h.started)
	switch decision.Action {
	case record.ActionReplay:
		h.emit(events.RequestReplayed, "server", decision.Response.Server)
		return h.finish(decision.Response, nil)
	case record.ActionJoin:
		h.emit(events.RequestJoined)
		return h.finish(h.joinExecution(ctx, decision.Execution))
	case record.ActionRun:
		return h.finish(h.runForAllCallers(ctx, decision.Execution))
	default:
		return h.finish(nil, decision.Problem)
	}
}

// awaitRecords waits until this holder has the records of its predecessor, without which
// it cannot tell whether the request has run.
func (h *requestHandler) awaitRecords(ctx context.Context) *problem.Problem {
	if h.dispatcher.options.Records == nil {
		return nil
	}
	ctx, cancel := context.WithDeadlineCause(ctx, h.request.Deadline, errDeadlinePassed)
	defer cancel()
	if err := h.dispatcher.options.Records.AwaitRecords(ctx); err != nil {
		return problem.From(err)
	}
	return nil
}

// joinExecution waits for an execution of the same request that an earlier delivery
// started.
func (h *requestHandler) joinExecution(ctx context.Context, execution *record.Execution) (*request.Response, *problem.Problem) {
	defer execution.Leave()
	rc := newRequestContext(ctx, h.request, h.dispatcher.limits().IdleTimeout)
	defer rc.release()
	select {
	case <-execution.Done():
		return execution.Outcome()
	case <-rc.Done():
		return nil, rc.problemIfEnded(rc, outcome.StageWritten)
	}
}

// runForAllCallers executes the request for its caller and all that join. The
// execution does not end with the caller's context but when the last caller has left.
func (h *requestHandler) runForAllCallers(ctx context.Context, execution *record.Execution) (*request.Response, *problem.Problem) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	execution.SetCancel(func() { cancel(context.Cause(ctx)) })
	stop := context.AfterFunc(ctx, execution.Leave)
	defer stop()
	h.resubmitted = execution.Repeated()
	if p := h.copyRecord(detached, execution); p != nil {
		cancel(nil)
		h.dispatcher.options.Records.Conclude(execution, record.FailedRecord(execution, "", p))
		return nil, p
	}
	response, p := h.runToEnd(detached)
	if p != nil {
		cancel(nil)
		h.dispatcher.options.Records.Conclude(execution, record.FailedRecord(execution, h.failedServer, p))
		return nil, p
	}
	h.dispatcher.options.Records.Conclude(execution, answeredRecord(execution, response, h.dispatcher.limits().MaxRecordedResponseBytes))
	if body, ok := response.Body.(*streamedBody); ok {
		cancelWithCaller(ctx, body, cancel)
	}
	return response, nil
}

// cancelWithCaller cancels a streamed response when its caller leaves. It is not
// recorded, so no other caller gets it.
func cancelWithCaller(caller context.Context, body *streamedBody, cancel context.CancelCauseFunc) {
	stop := context.AfterFunc(caller, func() { cancel(context.Cause(caller)) })
	release := body.release
	body.release = func(err error) {
		release(err)
		stop()
		cancel(errClosed)
	}
}

// copyRecord waits until all mirrors have the record that the request may be
// dispatched. This happens before a slot is acquired: slots are scarce, and one would
// stay idle during the round trip to the mirrors.
func (h *requestHandler) copyRecord(ctx context.Context, execution *record.Execution) *problem.Problem {
	if p := h.expectedRefusal(); p != nil {
		return p
	}
	ctx, cancel := context.WithDeadlineCause(ctx, h.request.Deadline, errDeadlinePassed)
	defer cancel()
	start := time.Now()
	if err := h.dispatcher.options.Records.Copy(ctx, execution); err != nil {
		if ended := problemFromCause(ctx, h.request.ID, outcome.StageQueued); ended != nil {
			return ended
		}
		return problem.From(err)
	}
	h.emit(events.RequestCopied, "duration_ms", milliseconds(time.Since(start)))
	return nil
}

// expectedRefusal returns a problem if the owner's queue would refuse the request
// now. The record is then not copied to the mirrors in vain.
func (h *requestHandler) expectedRefusal() *problem.Problem {
	view := h.dispatcher.options.Views.Load()
	if view == nil || !view.Keyed {
		return nil
	}
	keyRange := view.Find(h.request.KeyHash)
	if keyRange == nil || keyRange.Owner == nil || keyRange.Blocked != nil {
		return nil
	}
	if err := keyRange.Owner.Limiter.Refusal(h.request.Deadline, time.Now()); err != nil {
		return problem.From(err)
	}
	return nil
}

// answeredRecord returns the record of an answered request. It includes the response
// if that was buffered and its body has at most limit bytes.
func answeredRecord(execution *record.Execution, response *request.Response, limit int) record.Record {
	body, ok := response.Body.(*bufferedBody)
	recordable := ok && len(body.content) <= limit
	if !recordable {
		return record.AnsweredRecord(execution, response, nil, false)
	}
	return record.AnsweredRecord(execution, response, body.content, true)
}
