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

// runRecorded runs a non-idempotent request, of which the record decides whether
// it may run.
func (ex *execution) runRecorded(ctx context.Context) (*request.Answer, error) {
	decision := ex.dispatcher.beginRecord(ex.request, ex.started)
	switch decision.Action {
	case record.ActionReplay:
		ex.emit(events.RequestReplayed, "server", decision.Answer.Server)
		return ex.finish(decision.Answer, nil)
	case record.ActionJoin:
		ex.emit(events.RequestJoined)
		return ex.finish(ex.joinRun(ctx, decision.Run))
	case record.ActionRun:
		return ex.finish(ex.runForAllCallers(ctx, decision.Run))
	default:
		return ex.finish(nil, decision.Problem)
	}
}

// joinRun waits for the end of the same request that is running.
func (ex *execution) joinRun(ctx context.Context, run *record.Run) (*request.Answer, *problem.Problem) {
	defer run.Leave()
	rc := newRequestContext(ctx, ex.request, ex.dispatcher.limits().IdleTimeout)
	defer rc.release()
	select {
	case <-run.Done():
		return run.Outcome()
	case <-rc.Done():
		return nil, rc.problemIfEnded(rc, outcome.StageWritten)
	}
}

// runForAllCallers runs the request for all callers that wait for it. It is cancelled when
// the last of them has left.
func (ex *execution) runForAllCallers(ctx context.Context, run *record.Run) (*request.Answer, *problem.Problem) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	run.CancelWith(func() { cancel(context.Cause(ctx)) })
	stop := context.AfterFunc(ctx, run.Leave)
	defer stop()
	if p := ex.copyRecord(detached, run); p != nil {
		cancel(nil)
		ex.dispatcher.options.Records.Conclude(run, record.FailedRecord(run, "", p))
		return nil, p
	}
	answer, p := ex.runToEnd(detached)
	if p != nil {
		cancel(nil)
		ex.dispatcher.options.Records.Conclude(run, record.FailedRecord(run, ex.failedServer, p))
		return nil, p
	}
	ex.dispatcher.options.Records.Conclude(run, answeredRecord(run, answer, ex.dispatcher.limits().MaxRecordedResponseBytes))
	return answer, nil
}

// copyRecord waits until all mirrors know that the request may be dispatched.
// This comes before the slot: slots are scarce, and a round trip to the mirrors
// would leave one idle.
func (ex *execution) copyRecord(ctx context.Context, run *record.Run) *problem.Problem {
	if p := ex.expectedRefusal(); p != nil {
		return p
	}
	ctx, cancel := context.WithDeadlineCause(ctx, ex.request.Deadline, errDeadlinePassed)
	defer cancel()
	start := time.Now()
	if err := ex.dispatcher.options.Records.Copy(ctx, run); err != nil {
		if ended := problemFromCause(ctx, ex.request.ID, outcome.StageQueued); ended != nil {
			return ended
		}
		return problem.From(err)
	}
	ex.emit(events.RequestCopied, "duration_ms", milliseconds(time.Since(start)))
	return nil
}

// expectedRefusal spares the mirrors a copy when the owner's queue would refuse
// the request anyway.
func (ex *execution) expectedRefusal() *problem.Problem {
	view := ex.dispatcher.options.Views.Load()
	if view == nil || !view.Keyed {
		return nil
	}
	row := view.Find(ex.request.KeyHash)
	if row == nil || row.Owner == nil || row.Held != nil {
		return nil
	}
	if err := row.Owner.Gate.Refusal(ex.request.Deadline, time.Now()); err != nil {
		return problem.From(err)
	}
	return nil
}

// answeredRecord keeps the answer when it was read whole and is small enough.
func answeredRecord(run *record.Run, a *request.Answer, limit int) record.Record {
	body, ok := a.Body.(*bufferedBody)
	kept := ok && len(body.content) <= limit
	if !kept {
		return record.AnsweredRecord(run, a, nil, false)
	}
	return record.AnsweredRecord(run, a, body.content, true)
}
