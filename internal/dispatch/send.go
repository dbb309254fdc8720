package dispatch

import (
	"context"
	"io"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/progress"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/route"
)

// send dispatches the request to one server and reads its answer. It gives the
// slot back, at the end of the body when the answer is streamed.
func (j *job) send(ctx context.Context, w *work, entry *route.Entry, t *route.Target, slot *admission.Slot) (*request.Answer, *problem.Problem) {
	start := time.Now()
	if p := w.problem(ctx, outcome.StageQueued); p != nil {
		slot.Release(admission.Result{})
		return nil, p
	}
	w.startUpload()
	view, p := j.d.checkTenure(entry, t, time.Now())
	if p != nil {
		slot.Release(admission.Result{})
		return nil, p
	}
	order := backend.Order{Shard: view.Shard, Token: view.Tenure.Token, Holder: j.d.o.Self}
	j.emit(events.RequestDispatched, "server", t.Name, "token", order.Token.String(), "attempt", j.retries+1)
	answer, err := t.Server.Send(ctx, order, w.request)
	if err != nil {
		return nil, j.sendFailed(ctx, w, t, slot, problem.From(err), start)
	}
	return j.receive(ctx, w, t, slot, answer, start)
}

// receive checks that the answer belongs to the request and is whole.
func (j *job) receive(ctx context.Context, w *work, t *route.Target, slot *admission.Slot, a *request.Answer, start time.Time) (*request.Answer, *problem.Problem) {
	if a.RequestID != j.r.ID {
		_ = a.Body.Close() // the answer is discarded with its connection
		p := problem.New(problem.KindAnswerCrossed, outcome.StageWritten,
			"server %s answered request %q instead of %s", t.Name, a.RequestID, j.r.ID)
		return nil, j.sendFailed(ctx, w, t, slot, p, start)
	}
	content, rest, whole, err := readWhole(a, j.r.Method)
	if err != nil {
		_ = a.Body.Close() // the answer is discarded with its connection
		p := problem.Wrap(err, problem.KindAnswerShort, outcome.StageWritten,
			"the answer of server %s to request %s ended early", t.Name, j.r.ID)
		return nil, j.sendFailed(ctx, w, t, slot, p, start)
	}
	a.Server = t.Name
	j.observeIncarnation(t, a.Header.Get(backend.HeaderIncarnation))
	t.Gate.ObserveAccepted()
	if !whole {
		return j.stream(w, slot, a, rest, start), nil
	}
	return j.answered(t, slot, a, content, start), nil
}

func (j *job) answered(t *route.Target, slot *admission.Slot, a *request.Answer, content []byte, start time.Time) *request.Answer {
	_ = a.Body.Close() // the answer is whole; an error on closing changes nothing
	a.Body = newWholeBody(content)
	if a.ContentLength < 0 {
		a.ContentLength = int64(len(content))
	}
	elapsed := time.Since(start)
	if slot.Exclusive() {
		j.d.o.Quarantine.Clear(j.fingerprint, time.Now())
		j.emit(events.RequestCleared, "server", t.Name)
	}
	slot.Release(admission.Result{Kind: admission.Success, Latency: elapsed})
	j.emit(events.RequestAnswered, "server", t.Name, "status", a.Status, "bytes", len(content), "duration_ms", milliseconds(elapsed))
	return a
}

// stream passes a large answer on while it arrives.
func (j *job) stream(w *work, slot *admission.Slot, a *request.Answer, rest io.Reader, start time.Time) *request.Answer {
	stall := func() { w.cancel(progress.ErrStalled) }
	release := func(err error) {
		kind := admission.Success
		if err != nil {
			kind = admission.Abandoned
		}
		slot.Release(admission.Result{Kind: kind, Latency: time.Since(start)})
	}
	j.emit(events.RequestAnswered, "server", a.Server, "status", a.Status, "streamed", true,
		"duration_ms", milliseconds(time.Since(start)))
	a.Body = &streamBody{watched: progress.NewReader(rest, w.idle, stall, nil), source: a.Body, release: release}
	return a
}
