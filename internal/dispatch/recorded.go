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

// recorded runs a non-idempotent request, of which the record decides whether
// it may run.
func (j *job) recorded(ctx context.Context) (*request.Answer, error) {
	decision := j.d.begin(j.r, j.started)
	switch decision.Action {
	case record.ActionReplay:
		j.emit(events.RequestReplayed, "server", decision.Response.Server)
		return j.end(decision.Response, nil)
	case record.ActionJoin:
		j.emit(events.RequestJoined)
		return j.end(j.join(ctx, decision.Execution))
	case record.ActionRun:
		return j.end(j.lead(ctx, decision.Execution))
	default:
		return j.end(nil, decision.Problem)
	}
}

// join waits for the end of the same request that is running.
func (j *job) join(ctx context.Context, run *record.Execution) (*request.Answer, *problem.Problem) {
	defer run.Leave()
	w := newWork(ctx, j.r, j.d.limits().IdleTimeout)
	defer w.end()
	select {
	case <-run.Done():
		return run.Outcome()
	case <-w.Done():
		return nil, w.problem(w, outcome.StageWritten)
	}
}

// lead runs the request for all callers that wait for it. It is cancelled when
// the last of them has left.
func (j *job) lead(ctx context.Context, run *record.Execution) (*request.Answer, *problem.Problem) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	run.SetCancel(func() { cancel(context.Cause(ctx)) })
	stop := context.AfterFunc(ctx, run.Leave)
	defer stop()
	if p := j.copyRecord(detached, run); p != nil {
		cancel(nil)
		j.d.o.Records.Conclude(run, record.FailedRecord(run, "", p))
		return nil, p
	}
	answer, p := j.run(detached)
	if p != nil {
		cancel(nil)
		j.d.o.Records.Conclude(run, record.FailedRecord(run, j.failed, p))
		return nil, p
	}
	j.d.o.Records.Conclude(run, answeredRecord(run, answer, j.d.limits().AnswerLimit))
	return answer, nil
}

// copyRecord waits until all mirrors know that the request may be dispatched.
// This comes before the slot: slots are scarce, and a round trip to the mirrors
// would leave one idle.
func (j *job) copyRecord(ctx context.Context, run *record.Execution) *problem.Problem {
	if p := j.foreseeRefusal(); p != nil {
		return p
	}
	ctx, cancel := context.WithDeadlineCause(ctx, j.r.Deadline, errDeadline)
	defer cancel()
	start := time.Now()
	if err := j.d.o.Records.Copy(ctx, run); err != nil {
		if ended := endProblem(ctx, j.r.ID, outcome.StageQueued); ended != nil {
			return ended
		}
		return problem.From(err)
	}
	j.emit(events.RequestCopied, "duration_ms", milliseconds(time.Since(start)))
	return nil
}

// foreseeRefusal spares the mirrors a copy when the owner's queue would refuse
// the request anyway.
func (j *job) foreseeRefusal() *problem.Problem {
	view := j.d.o.Views.Load()
	if view == nil || !view.Keyed {
		return nil
	}
	row := view.Find(j.r.KeyHash)
	if row == nil || row.Owner == nil || row.Held != nil {
		return nil
	}
	if err := row.Owner.Gate.Refusal(j.r.Deadline, time.Now()); err != nil {
		return problem.From(err)
	}
	return nil
}

// answeredRecord keeps the answer when it was read whole and is small enough.
func answeredRecord(run *record.Execution, a *request.Answer, limit int) record.Record {
	body, ok := a.Body.(*wholeBody)
	kept := ok && len(body.bytes) <= limit
	if !kept {
		return record.AnsweredRecord(run, a, nil, false)
	}
	return record.AnsweredRecord(run, a, body.bytes, true)
}
