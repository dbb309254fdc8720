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

// send dispatches the request to one server and reads the response. It releases the
// slot, for a streamed response at the end of the body.
func (h *requestHandler) send(ctx context.Context, rc *requestContext, rangeRef *route.RangeRef, t *route.Target, slot *admission.Slot) (*request.Response, *problem.Problem) {
	start := time.Now()
	if p := rc.problemIfEnded(ctx, outcome.StageQueued); p != nil {
		slot.Release(admission.Result{})
		return nil, p
	}
	rc.monitorUpload()
	view, p := h.dispatcher.checkTenure(rangeRef, t, time.Now())
	if p != nil {
		slot.Release(admission.Result{})
		return nil, p
	}
	order := backend.Order{Shard: view.Shard, Token: view.Tenure.Token, Holder: h.dispatcher.options.Self}
	h.emit(events.RequestDispatched, "server", t.Name, "token", order.Token.String(), "attempt", h.retries+1)
	if h.retries > 0 || h.resubmitted {
		resent := *rc.request
		resent.Resent = true
		rc.request = &resent
	}
	response, err := t.Server.Send(ctx, order, rc.request)
	if err != nil {
		return nil, h.handleSendFailure(ctx, rc, t, slot, problem.From(err), start)
	}
	return h.receiveResponse(ctx, rc, t, slot, response, start)
}

// receiveResponse checks that the response belongs to the request and, unless it is
// streamed, is complete.
func (h *requestHandler) receiveResponse(ctx context.Context, rc *requestContext, t *route.Target, slot *admission.Slot, response *request.Response, start time.Time) (*request.Response, *problem.Problem) {
	if response.RequestID != h.request.ID {
		_ = response.Body.Close() // the response is discarded together with its connection
		p := problem.New(problem.KindAnswerCrossed, outcome.StageWritten,
			"server %s answered request %q instead of %s", t.Name, response.RequestID, h.request.ID)
		return nil, h.handleSendFailure(ctx, rc, t, slot, p, start)
	}
	content, body, complete, err := readResponse(response, h.request.Method)
	if err != nil {
		_ = response.Body.Close() // the response is discarded together with its connection
		p := problem.Wrap(err, problem.KindAnswerShort, outcome.StageWritten,
			"the answer of server %s to request %s ended early", t.Name, h.request.ID)
		return nil, h.handleSendFailure(ctx, rc, t, slot, p, start)
	}
	response.Server = t.Name
	h.observeIncarnation(t, response.Header.Get(backend.HeaderIncarnation))
	t.Limiter.ObserveAccepted()
	if !complete {
		return h.startStream(rc, slot, response, body, start), nil
	}
	return h.finishBuffered(t, slot, response, content, start), nil
}

// finishBuffered releases the slot and returns the response with its buffered body.
// The quarantine of a request that ran exclusively ends with this success.
func (h *requestHandler) finishBuffered(t *route.Target, slot *admission.Slot, response *request.Response, content []byte, start time.Time) *request.Response {
	_ = response.Body.Close() // the body was read completely, so an error on closing does not matter
	response.Body = newBufferedBody(content)
	if response.ContentLength < 0 {
		response.ContentLength = int64(len(content))
	}
	elapsed := time.Since(start)
	if slot.Exclusive() {
		h.dispatcher.options.Quarantine.Clear(h.fingerprint, time.Now())
		h.emit(events.RequestCleared, "server", t.Name)
	}
	slot.Release(admission.Result{Kind: admission.Success, Latency: elapsed})
	h.emit(events.RequestAnswered, "server", t.Name, "status", response.Status, "bytes", len(content), "duration_ms", milliseconds(elapsed))
	return response
}

// startStream returns a large response whose body is passed on while it arrives. The
// slot is released at the end of the body.
func (h *requestHandler) startStream(rc *requestContext, slot *admission.Slot, response *request.Response, body io.Reader, start time.Time) *request.Response {
	onStall := func() { rc.cancel(progress.ErrStalled) }
	release := func(err error) {
		kind := admission.Success
		if err != nil {
			kind = admission.Abandoned
		}
		slot.Release(admission.Result{Kind: kind, Latency: time.Since(start)})
	}
	h.emit(events.RequestAnswered, "server", response.Server, "status", response.Status, "streamed", true,
		"duration_ms", milliseconds(time.Since(start)))
	response.Body = &streamedBody{reader: progress.NewReader(body, rc.idleTimeout, onStall, nil), source: response.Body, release: release}
	return response
}
