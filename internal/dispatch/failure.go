package dispatch

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/route"
)

// probeTimeout bounds the question whether a server whose connection died has crashed.
const probeTimeout = 200 * time.Millisecond

// sendFailed gives the slot back and draws the conclusions about the server.
func (j *job) sendFailed(ctx context.Context, w *work, t *route.Target, slot *admission.Slot, p *problem.Problem, start time.Time) *problem.Problem {
	elapsed := time.Since(start)
	if cancelled := w.problem(ctx, p.Stage); cancelled != nil {
		slot.Release(admission.Result{Kind: abandonedKind(p.Stage), Latency: elapsed})
		j.emit(events.DispatchFailed, "server", t.Name, "stage", stageName(p.Stage), "kind", cancelled.Kind, "duration_ms", milliseconds(elapsed))
		return cancelled
	}
	j.failed = t.Name
	j.emit(events.DispatchFailed, "server", t.Name, "stage", stageName(p.Stage), "kind", p.Kind, "problem", p.Message, "duration_ms", milliseconds(elapsed))
	slot.Release(admission.Result{Kind: failureKind(p), Latency: elapsed})
	j.observeFailure(t, p, start)
	return p
}

// abandonedKind says what a dispatch that was cancelled at stage shows about the server.
func abandonedKind(stage outcome.Stage) admission.ResultKind {
	if stage == outcome.StageWritten {
		return admission.Abandoned
	}
	return admission.Neutral
}

func failureKind(p *problem.Problem) admission.ResultKind {
	switch {
	case p.Stage == outcome.StageRefusedByServer && p.Kind == problem.KindShed:
		return admission.Shed
	case p.Stage == outcome.StageRefusedByServer:
		return admission.Neutral
	default:
		return admission.Failure
	}
}

// observeFailure looks for signs of a crash and of a cold start.
func (j *job) observeFailure(t *route.Target, p *problem.Problem, start time.Time) {
	switch {
	case p.Stage == outcome.StageConnect:
		t.Gate.ObserveRefused()
		j.markCrashed(t)
	case p.Stage == outcome.StageRefusedByServer:
		t.Gate.ObserveAccepted()
	case p.Kind == problem.KindAnswerLost, p.Kind == problem.KindAnswerShort:
		j.connectionDied(t, start)
	}
}

// connectionDied remembers the request as a suspect and asks the server whether
// it has crashed. A request that may be retried waits for the answer, so that it
// does not crash the next server before it is marked.
func (j *job) connectionDied(t *route.Target, start time.Time) {
	marked := j.d.watch(t).ConnectionLost(j.fingerprint, start, time.Now())
	j.mark(t, marked)
	if len(marked) > 0 {
		return
	}
	if j.r.Idempotent {
		j.probe(t)
		return
	}
	go j.probe(t)
}

// probe looks for a refused connection or another incarnation.
func (j *job) probe(t *route.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	health, err := t.Server.Health(ctx)
	if err == nil {
		j.observeIncarnation(t, health.Incarnation)
		return
	}
	if problem.From(err).Stage == outcome.StageConnect {
		t.Gate.ObserveRefused()
		j.markCrashed(t)
	}
}

// observeIncarnation reads the incarnation that a response carried.
func (j *job) observeIncarnation(t *route.Target, id string) {
	if t.Gate.ObserveIncarnation(id) {
		j.markCrashed(t)
	}
}

func (j *job) markCrashed(t *route.Target) {
	j.mark(t, j.d.watch(t).CrashObserved(time.Now()))
}

func (j *job) mark(t *route.Target, fingerprints []quarantine.Fingerprint) {
	if len(fingerprints) == 0 {
		return
	}
	j.d.o.Quarantine.Mark(j.r.Service, fingerprints, time.Now())
	j.emit(events.RequestsMarked, "server", t.Name, "count", len(fingerprints))
}
