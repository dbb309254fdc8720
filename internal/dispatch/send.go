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
func (ex *execution) send(ctx context.Context, rc *requestContext, entry *route.Entry, t *route.Target, slot *admission.Slot) (*request.Answer, *problem.Problem) {
	start := time.Now()
	if p := rc.problemIfEnded(ctx, outcome.StageQueued); p != nil {
		slot.Release(admission.Result{})
		return nil, p
	}
	rc.monitorUpload()
	view, p := ex.dispatcher.checkTenure(entry, t, time.Now())
	if p != nil {
		slot.Release(admission.Result{})
		return nil, p
	}
	order := backend.Order{Shard: view.Shard, Token: view.Tenure.Token, Holder: ex.dispatcher.options.Self}
	ex.emit(events.RequestDispatched, "server", t.Name, "token", order.Token.String(), "attempt", ex.retries+1)
	answer, err := t.Server.Send(ctx, order, rc.request)
	if err != nil {
		return nil, ex.handleSendFailure(ctx, rc, t, slot, problem.From(err), start)
	}
	return ex.receiveResponse(ctx, rc, t, slot, answer, start)
}

// receiveResponse checks that the answer belongs to the request and is whole.
func (ex *execution) receiveResponse(ctx context.Context, rc *requestContext, t *route.Target, slot *admission.Slot, a *request.Answer, start time.Time) (*request.Answer, *problem.Problem) {
	if a.RequestID != ex.request.ID {
		_ = a.Body.Close() // the answer is discarded with its connection
		p := problem.New(problem.KindAnswerCrossed, outcome.StageWritten,
			"server %s answered request %q instead of %s", t.Name, a.RequestID, ex.request.ID)
		return nil, ex.handleSendFailure(ctx, rc, t, slot, p, start)
	}
	content, rest, whole, err := readResponse(a, ex.request.Method)
	if err != nil {
		_ = a.Body.Close() // the answer is discarded with its connection
		p := problem.Wrap(err, problem.KindAnswerShort, outcome.StageWritten,
			"the answer of server %s to request %s ended early", t.Name, ex.request.ID)
		return nil, ex.handleSendFailure(ctx, rc, t, slot, p, start)
	}
	a.Server = t.Name
	ex.observeIncarnation(t, a.Header.Get(backend.HeaderIncarnation))
	t.Gate.ObserveAccepted()
	if !whole {
		return ex.startStream(rc, slot, a, rest, start), nil
	}
	return ex.finishBuffered(t, slot, a, content, start), nil
}

func (ex *execution) finishBuffered(t *route.Target, slot *admission.Slot, a *request.Answer, content []byte, start time.Time) *request.Answer {
	_ = a.Body.Close() // the answer is whole; an error on closing changes nothing
	a.Body = newBufferedBody(content)
	if a.ContentLength < 0 {
		a.ContentLength = int64(len(content))
	}
	elapsed := time.Since(start)
	if slot.Exclusive() {
		ex.dispatcher.options.Quarantine.Clear(ex.fingerprint, time.Now())
		ex.emit(events.RequestCleared, "server", t.Name)
	}
	slot.Release(admission.Result{Kind: admission.Success, Latency: elapsed})
	ex.emit(events.RequestAnswered, "server", t.Name, "status", a.Status, "bytes", len(content), "duration_ms", milliseconds(elapsed))
	return a
}

// startStream passes a large answer on while it arrives.
func (ex *execution) startStream(rc *requestContext, slot *admission.Slot, a *request.Answer, rest io.Reader, start time.Time) *request.Answer {
	stall := func() { rc.cancel(progress.ErrStalled) }
	release := func(err error) {
		kind := admission.Success
		if err != nil {
			kind = admission.Abandoned
		}
		slot.Release(admission.Result{Kind: kind, Latency: time.Since(start)})
	}
	ex.emit(events.RequestAnswered, "server", a.Server, "status", a.Status, "streamed", true,
		"duration_ms", milliseconds(time.Since(start)))
	a.Body = &streamedBody{reader: progress.NewReader(rest, rc.idleTimeout, stall, nil), source: a.Body, release: release}
	return a
}
