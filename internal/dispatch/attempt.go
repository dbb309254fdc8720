package dispatch

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/route"
)

// attemptOnce enters the key range, acquires a slot and sends the request once, or
// twice when it is hedged.
func (h *requestHandler) attemptOnce(rc *requestContext) (*request.Response, *problem.Problem) {
	rangeRef, p := h.enterRange(rc)
	if p != nil {
		return nil, p
	}
	var response *request.Response
	if rangeRef.View.Keyed {
		response, p = h.sendToOwner(rc, rangeRef)
	} else {
		response, p = h.sendToAny(rc, rangeRef)
	}
	if response != nil {
		if body, ok := response.Body.(*streamedBody); ok {
			h.releaseAtStreamEnd(body, rangeRef, rc)
			return response, nil
		}
		rc.release()
	}
	rangeRef.Release()
	return response, p
}

// releaseAtStreamEnd keeps the request counted in its range until the body of a
// streamed response has ended, so that the range does not move before.
func (h *requestHandler) releaseAtStreamEnd(body *streamedBody, rangeRef *route.RangeRef, rc *requestContext) {
	rc.stopDeadline()
	release := body.release
	body.release = func(err error) {
		release(err)
		rc.release()
		rangeRef.Release()
	}
}

// enterRange counts the request into its key range. It waits while the range is
// blocked for a move or a grant.
func (h *requestHandler) enterRange(rc *requestContext) (*route.RangeRef, *problem.Problem) {
	for {
		if p := rc.problemIfEnded(rc, outcome.StageQueued); p != nil {
			return nil, p
		}
		rangeRef, blocked := route.Acquire(h.dispatcher.options.Views, h.request.KeyHash)
		if rangeRef != nil {
			return rangeRef, nil
		}
		if blocked == nil {
			return nil, problem.New(problem.KindNotHolder, outcome.StageForwardUnsent,
				"this instance does not hold the shard of key %q", h.request.Key)
		}
		gate := h.queueGate()
		select {
		case <-blocked:
		case <-rc.Done():
		case <-gate.ctx.Done():
			return nil, h.queueClosedProblem()
		}
	}
}

// queueGate returns the gate that ends the wait of this request. A streamed request cannot
// be forwarded to the next holder, so it waits for as long as this one may run it.
func (h *requestHandler) queueGate() *queueGate {
	if h.request.Streamed() {
		return openGate
	}
	return h.dispatcher.queue.Load()
}

func (h *requestHandler) queueClosedProblem() *problem.Problem {
	return problem.New(problem.KindNotHolder, outcome.StageForwardUnsent,
		"the shard of key %q is being handed over", h.request.Key)
}

func (h *requestHandler) sendToOwner(rc *requestContext, rangeRef *route.RangeRef) (*request.Response, *problem.Problem) {
	owner := rangeRef.Range.Owner
	if owner == nil {
		return nil, problem.New(problem.KindNoOwner, outcome.StageQueued,
			"no backend server owns the range %s of shard %s now", rangeRef.Range.Bounds, rangeRef.View.Shard)
	}
	slot, p := h.admit(rc, owner)
	if p != nil {
		return nil, p
	}
	return h.send(rc, rc, rangeRef, owner, slot)
}

// admit waits for a slot of the server. A marked request, one whose content may have
// crashed a server, gets all slots. The quarantine is checked again after the wait,
// because a crash may have been observed meanwhile.
func (h *requestHandler) admit(ctx context.Context, t *route.Target) (*admission.Slot, *problem.Problem) {
	start := time.Now()
	for {
		verdict, remaining := h.dispatcher.options.Quarantine.Verdict(h.fingerprint, time.Now())
		if verdict == quarantine.Refused {
			p := problem.New(problem.KindQuarantined, outcome.StageQueued,
				"the content of request %s crashed servers of %s twice", h.request.ID, h.request.Service)
			return nil, p.WithRetryAfter(remaining)
		}
		slot, p := h.acquireSlot(ctx, t, verdict == quarantine.Exclusive)
		if p != nil {
			return nil, p
		}
		current, _ := h.dispatcher.options.Quarantine.Verdict(h.fingerprint, time.Now())
		if current == verdict {
			h.emit(events.RequestAdmitted, "server", t.Name, "alone", slot.Exclusive(),
				"wait_ms", milliseconds(time.Since(start)))
			return slot, nil
		}
		slot.Release(admission.Result{})
	}
}

func (h *requestHandler) acquireSlot(ctx context.Context, t *route.Target, exclusive bool) (*admission.Slot, *problem.Problem) {
	acquire := t.Limiter.Acquire
	if exclusive {
		acquire = t.Limiter.AcquireExclusive
	}
	gate := h.queueGate()
	if gate.isClosed() {
		return nil, h.queueClosedProblem()
	}
	if !exclusive {
		if slot, ok := t.Limiter.TryAcquire(); ok {
			return slot, nil
		}
	}
	waitCtx, release := gate.attach(ctx)
	defer release()
	slot, err := acquire(waitCtx, h.request.Deadline, h.dispatcher.priority(h.request), time.Now())
	if gate.isClosed() {
		if err == nil {
			slot.Release(admission.Result{})
		}
		return nil, h.queueClosedProblem()
	}
	if err != nil {
		return nil, problem.From(err)
	}
	return slot, nil
}
