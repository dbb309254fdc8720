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

// attemptOnce enters the range, takes a slot and sends the request once, or twice
// when it is hedged.
func (ex *execution) attemptOnce(rc *requestContext) (*request.Answer, *problem.Problem) {
	entry, p := ex.enterRange(rc)
	if p != nil {
		return nil, p
	}
	var answer *request.Answer
	if entry.View.Keyed {
		answer, p = ex.sendToOwner(rc, entry)
	} else {
		answer, p = ex.sendToAny(rc, entry)
	}
	if answer != nil {
		if body, ok := answer.Body.(*streamedBody); ok {
			ex.releaseAtStreamEnd(body, entry, rc)
			return answer, nil
		}
		rc.release()
	}
	entry.Leave()
	return answer, p
}

// releaseAtStreamEnd keeps the range until a streamed answer has ended.
func (ex *execution) releaseAtStreamEnd(body *streamedBody, entry *route.Entry, rc *requestContext) {
	rc.stopDeadline()
	release := body.release
	body.release = func(err error) {
		release(err)
		rc.release()
		entry.Leave()
	}
}

// enterRange waits while the range is held for a move or a grant.
func (ex *execution) enterRange(rc *requestContext) (*route.Entry, *problem.Problem) {
	for {
		if p := rc.problemIfEnded(rc, outcome.StageQueued); p != nil {
			return nil, p
		}
		entry, held := route.Enter(ex.dispatcher.options.Views, ex.request.KeyHash)
		if entry != nil {
			return entry, nil
		}
		if held == nil {
			return nil, problem.New(problem.KindNotHolder, outcome.StageForwardUnsent,
				"this instance does not hold the shard of key %q", ex.request.Key)
		}
		select {
		case <-held:
		case <-rc.Done():
		}
	}
}

func (ex *execution) sendToOwner(rc *requestContext, entry *route.Entry) (*request.Answer, *problem.Problem) {
	owner := entry.Range.Owner
	if owner == nil {
		return nil, problem.New(problem.KindNoOwner, outcome.StageQueued,
			"no backend server owns the range %s of shard %s now", entry.Range.Bounds, entry.View.Shard)
	}
	slot, p := ex.admit(rc, owner)
	if p != nil {
		return nil, p
	}
	return ex.send(rc, rc, entry, owner, slot)
}

// admit waits for a slot. A marked request gets all slots of the server; the
// mark is read again once the slot is there, since a crash may have come meanwhile.
func (ex *execution) admit(ctx context.Context, t *route.Target) (*admission.Slot, *problem.Problem) {
	start := time.Now()
	for {
		verdict, remaining := ex.dispatcher.options.Quarantine.Verdict(ex.fingerprint, time.Now())
		if verdict == quarantine.Refused {
			p := problem.New(problem.KindQuarantined, outcome.StageQueued,
				"the content of request %s crashed servers of %s twice", ex.request.ID, ex.request.Service)
			return nil, p.WithRetryAfter(remaining)
		}
		slot, p := ex.acquireSlot(ctx, t, verdict == quarantine.Alone)
		if p != nil {
			return nil, p
		}
		after, _ := ex.dispatcher.options.Quarantine.Verdict(ex.fingerprint, time.Now())
		if after == verdict {
			ex.emit(events.RequestAdmitted, "server", t.Name, "alone", slot.Exclusive(),
				"wait_ms", milliseconds(time.Since(start)))
			return slot, nil
		}
		slot.Release(admission.Result{})
	}
}

func (ex *execution) acquireSlot(ctx context.Context, t *route.Target, alone bool) (*admission.Slot, *problem.Problem) {
	take := t.Gate.Acquire
	if alone {
		take = t.Gate.AcquireExclusive
	}
	slot, err := take(ctx, ex.request.Deadline, ex.dispatcher.priority(ex.request), time.Now())
	if err != nil {
		return nil, problem.From(err)
	}
	return slot, nil
}
