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

// handleSendFailure gives the slot back and draws the conclusions about the server.
func (ex *execution) handleSendFailure(ctx context.Context, rc *requestContext, t *route.Target, slot *admission.Slot, p *problem.Problem, start time.Time) *problem.Problem {
	elapsed := time.Since(start)
	if cancelled := rc.problemIfEnded(ctx, p.Stage); cancelled != nil {
		slot.Release(admission.Result{Kind: cancelledResultKind(p.Stage), Latency: elapsed})
		ex.emit(events.DispatchFailed, "server", t.Name, "stage", stageName(p.Stage), "kind", cancelled.Kind, "duration_ms", milliseconds(elapsed))
		return cancelled
	}
	ex.failedServer = t.Name
	ex.emit(events.DispatchFailed, "server", t.Name, "stage", stageName(p.Stage), "kind", p.Kind, "problem", p.Message, "duration_ms", milliseconds(elapsed))
	slot.Release(admission.Result{Kind: failureResultKind(p), Latency: elapsed})
	ex.observeFailure(t, p, start)
	return p
}

// cancelledResultKind says what a dispatch that was cancelled at stage shows about the server.
func cancelledResultKind(stage outcome.Stage) admission.ResultKind {
	if stage == outcome.StageWritten {
		return admission.Abandoned
	}
	return admission.Neutral
}

func failureResultKind(p *problem.Problem) admission.ResultKind {
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
func (ex *execution) observeFailure(t *route.Target, p *problem.Problem, start time.Time) {
	switch {
	case p.Stage == outcome.StageConnect:
		t.Gate.ObserveRefused()
		ex.markCrashSuspects(t)
	case p.Stage == outcome.StageRefusedByServer:
		t.Gate.ObserveAccepted()
	case p.Kind == problem.KindAnswerLost, p.Kind == problem.KindAnswerShort:
		ex.handleConnectionLoss(t, start)
	}
}

// handleConnectionLoss remembers the request as a suspect and asks the server whether
// it has crashed. A request that may be retried waits for the answer, so that it
// does not crash the next server before it is marked.
func (ex *execution) handleConnectionLoss(t *route.Target, start time.Time) {
	marked := ex.dispatcher.crashDetector(t).Died(ex.fingerprint, start, time.Now())
	ex.markFingerprints(t, marked)
	if len(marked) > 0 {
		return
	}
	if ex.request.Idempotent {
		ex.probeForCrash(t)
		return
	}
	go ex.probeForCrash(t)
}

// probeForCrash looks for a refused connection or another incarnation.
func (ex *execution) probeForCrash(t *route.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	health, err := t.Server.Health(ctx)
	if err == nil {
		ex.observeIncarnation(t, health.Incarnation)
		return
	}
	if problem.From(err).Stage == outcome.StageConnect {
		t.Gate.ObserveRefused()
		ex.markCrashSuspects(t)
	}
}

// observeIncarnation reads the incarnation that a response carried.
func (ex *execution) observeIncarnation(t *route.Target, id string) {
	if t.Gate.ObserveIncarnation(id) {
		ex.markCrashSuspects(t)
	}
}

func (ex *execution) markCrashSuspects(t *route.Target) {
	ex.markFingerprints(t, ex.dispatcher.crashDetector(t).Crashed(time.Now()))
}

func (ex *execution) markFingerprints(t *route.Target, fingerprints []quarantine.Fingerprint) {
	if len(fingerprints) == 0 {
		return
	}
	ex.dispatcher.options.Quarantine.Mark(ex.request.Service, fingerprints, time.Now())
	ex.emit(events.RequestsMarked, "server", t.Name, "count", len(fingerprints))
}
