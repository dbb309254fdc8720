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

// attempt enters the range, takes a slot and sends the request once, or twice
// when it is hedged.
func (j *job) attempt(w *work) (*request.Answer, *problem.Problem) {
	entry, p := j.enter(w)
	if p != nil {
		return nil, p
	}
	var answer *request.Answer
	if entry.View.Keyed {
		answer, p = j.toOwner(w, entry)
	} else {
		answer, p = j.toAny(w, entry)
	}
	if answer != nil {
		if body, ok := answer.Body.(*streamBody); ok {
			j.holdUntilEnd(body, entry, w)
			return answer, nil
		}
		w.end()
	}
	entry.Leave()
	return answer, p
}

// holdUntilEnd keeps the range until a streamed answer has ended.
func (j *job) holdUntilEnd(body *streamBody, entry *route.Entry, w *work) {
	w.startDownload()
	release := body.release
	body.release = func(err error) {
		release(err)
		w.end()
		entry.Leave()
	}
}

// enter waits while the range is held for a move or a grant.
func (j *job) enter(w *work) (*route.Entry, *problem.Problem) {
	for {
		if p := w.problem(w, outcome.StageQueued); p != nil {
			return nil, p
		}
		entry, held := route.Enter(j.d.o.Views, j.r.KeyHash)
		if entry != nil {
			return entry, nil
		}
		if held == nil {
			return nil, problem.New(problem.KindNotHolder, outcome.StageForwardUnsent,
				"this instance does not hold the shard of key %q", j.r.Key)
		}
		select {
		case <-held:
		case <-w.Done():
		}
	}
}

func (j *job) toOwner(w *work, entry *route.Entry) (*request.Answer, *problem.Problem) {
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
func (j *job) admit(ctx context.Context, t *route.Target) (*admission.Slot, *problem.Problem) {
	start := time.Now()
	for {
		verdict, remaining := j.d.o.Quarantine.Verdict(j.fingerprint, time.Now())
		if verdict == quarantine.Refused {
			p := problem.New(problem.KindQuarantined, outcome.StageQueued,
				"the content of request %s crashed servers of %s twice", j.r.ID, j.r.Service)
			return nil, p.WithRetryAfter(remaining)
		}
		slot, p := j.acquire(ctx, t, verdict == quarantine.Exclusive)
		if p != nil {
			return nil, p
		}
		after, _ := j.d.o.Quarantine.Verdict(j.fingerprint, time.Now())
		if after == verdict {
			j.emit(events.RequestAdmitted, "server", t.Name, "alone", slot.Exclusive(),
				"wait_ms", milliseconds(time.Since(start)))
			return slot, nil
		}
		slot.Release(admission.Result{})
	}
}

func (j *job) acquire(ctx context.Context, t *route.Target, alone bool) (*admission.Slot, *problem.Problem) {
	take := t.Gate.Acquire
	if alone {
		take = t.Gate.AcquireExclusive
	}
	slot, err := take(ctx, j.r.Deadline, j.d.priority(j.r), time.Now())
	if err != nil {
		return nil, problem.From(err)
	}
	return slot, nil
}
