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
func (j *execution) runRecorded(ctx context.Context) (*request.Answer, error) {
	decision := j.dispatcher.beginRecord(j.request, j.started)
	switch decision.Action {
	case record.ActionReplay:
		j.emit(events.RequestReplayed, "server", decision.Answer.Server)
		return j.finish(decision.Answer, nil)
	case record.ActionJoin:
		j.emit(events.RequestJoined)
		return j.finish(j.joinRun(ctx, decision.Run))
	case record.ActionRun:
		return j.finish(j.runForAllCallers(ctx, decision.Run))
	default:
		return j.finish(nil, decision.Problem)
	}
}

// joinRun waits for the end of the same request that is running.
func (j *execution) joinRun(ctx context.Context, run *record.Run) (*request.Answer, *problem.Problem) {
	defer run.Leave()
	w := newRequestContext(ctx, j.request, j.dispatcher.limits().IdleTimeout)
	defer w.release()
	select {
	case <-run.Done():
		return run.Outcome()
	case <-w.Done():
		return nil, w.problemIfEnded(w, outcome.StageWritten)
	}
}

// runForAllCallers runs the request for all callers that wait for it. It is cancelled when
// the last of them has left.
func (j *execution) runForAllCallers(ctx context.Context, run *record.Run) (*request.Answer, *problem.Problem) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	run.CancelWith(func() { cancel(context.Cause(ctx)) })
	stop := context.AfterFunc(ctx, run.Leave)
	defer stop()
	if p := j.copyRecord(detached, run); p != nil {
		cancel(nil)
		j.dispatcher.options.Records.Conclude(run, record.FailedRecord(run, "", p))
		return nil, p
	}
	answer, p := j.runToEnd(detached)
	if p != nil {
		cancel(nil)
		j.dispatcher.options.Records.Conclude(run, record.FailedRecord(run, j.failedServer, p))
		return nil, p
	}
	j.dispatcher.options.Records.Conclude(run, answeredRecord(run, answer, j.dispatcher.limits().MaxRecordedResponseBytes))
	return answer, nil
}

// copyRecord waits until all mirrors know that the request may be dispatched.
// This comes before the slot: slots are scarce, and a round trip to the mirrors
// would leave one idle.
func (j *execution) copyRecord(ctx context.Context, run *record.Run) *problem.Problem {
	if p := j.expectedRefusal(); p != nil {
		return p
	}
	ctx, cancel := context.WithDeadlineCause(ctx, j.request.Deadline, errDeadlinePassed)
	defer cancel()
	start := time.Now()
	if err := j.dispatcher.options.Records.Copy(ctx, run); err != nil {
		if ended := problemFromCause(ctx, j.request.ID, outcome.StageQueued); ended != nil {
			return ended
		}
		return problem.From(err)
	}
	j.emit(events.RequestCopied, "duration_ms", milliseconds(time.Since(start)))
	return nil
}

// expectedRefusal spares the mirrors a copy when the owner's queue would refuse
// the request anyway.
func (j *execution) expectedRefusal() *problem.Problem {
	view := j.dispatcher.options.Views.Load()
	if view == nil || !view.Keyed {
		return nil
	}
	row := view.Find(j.request.KeyHash)
	if row == nil || row.Owner == nil || row.Held != nil {
		return nil
	}
	if err := row.Owner.Gate.Refusal(j.request.Deadline, time.Now()); err != nil {
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
