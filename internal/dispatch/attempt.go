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
func (j *execution) attemptOnce(w *requestContext) (*request.Answer, *problem.Problem) {
	entry, p := j.enterRange(w)
	if p != nil {
		return nil, p
	}
	var answer *request.Answer
	if entry.View.Keyed {
		answer, p = j.sendToOwner(w, entry)
	} else {
		answer, p = j.sendToAny(w, entry)
	}
	if answer != nil {
		if body, ok := answer.Body.(*streamedBody); ok {
			j.releaseAtStreamEnd(body, entry, w)
			return answer, nil
		}
		w.release()
	}
	entry.Leave()
	return answer, p
}

// releaseAtStreamEnd keeps the range until a streamed answer has ended.
func (j *execution) releaseAtStreamEnd(body *streamedBody, entry *route.Entry, w *requestContext) {
	w.stopDeadline()
	release := body.release
	body.release = func(err error) {
		release(err)
		w.release()
		entry.Leave()
	}
}

// enterRange waits while the range is held for a move or a grant.
func (j *execution) enterRange(w *requestContext) (*route.Entry, *problem.Problem) {
	for {
		if p := w.problemIfEnded(w, outcome.StageQueued); p != nil {
			return nil, p
		}
		entry, held := route.Enter(j.dispatcher.options.Views, j.request.KeyHash)
		if entry != nil {
			return entry, nil
		}
		if held == nil {
			return nil, problem.New(problem.KindNotHolder, outcome.StageForwardUnsent,
				"this instance does not hold the shard of key %q", j.request.Key)
		}
		select {
		case <-held:
		case <-w.Done():
		}
	}
}

func (j *execution) sendToOwner(w *requestContext, entry *route.Entry) (*request.Answer, *problem.Problem) {
	owner := entry.Range.Owner
	if owner == nil {
		return nil, problem.New(problem.KindNoOwner, outcome.StageQueued,
			"no backend server owns the range %s of shard %s now", entry.Range.Bounds, entry.View.Shard)
	}
	slot, p := j.admit(w, owner)
	if p != nil {
		return nil, p
	}
	return j.send(w, w, entry, owner, slot)
}

// admit waits for a slot. A marked request gets all slots of the server; the
// mark is read again once the slot is there, since a crash may have come meanwhile.
func (j *execution) admit(ctx context.Context, t *route.Target) (*admission.Slot, *problem.Problem) {
	start := time.Now()
	for {
		verdict, remaining := j.dispatcher.options.Quarantine.Verdict(j.fingerprint, time.Now())
		if verdict == quarantine.Refused {
			p := problem.New(problem.KindQuarantined, outcome.StageQueued,
				"the content of request %s crashed servers of %s twice", j.request.ID, j.request.Service)
			return nil, p.WithRetryAfter(remaining)
		}
		slot, p := j.acquireSlot(ctx, t, verdict == quarantine.Alone)
		if p != nil {
			return nil, p
		}
		after, _ := j.dispatcher.options.Quarantine.Verdict(j.fingerprint, time.Now())
		if after == verdict {
			j.emit(events.RequestAdmitted, "server", t.Name, "alone", slot.Exclusive(),
				"wait_ms", milliseconds(time.Since(start)))
			return slot, nil
		}
		slot.Release(admission.Result{})
	}
}

func (j *execution) acquireSlot(ctx context.Context, t *route.Target, alone bool) (*admission.Slot, *problem.Problem) {
	take := t.Gate.Acquire
	if alone {
		take = t.Gate.AcquireExclusive
	}
	slot, err := take(ctx, j.request.Deadline, j.dispatcher.priority(j.request), time.Now())
	if err != nil {
		return nil, problem.From(err)
	}
	return slot, nil
}
