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

// probeTimeout limits the health check that tells whether a server has crashed
// after a connection to it was lost.
const probeTimeout = 200 * time.Millisecond

// handleSendFailure releases the slot and records what the failure says about the
// server. It returns the problem of the request, which for a cancelled one is the
// cancellation.
func (h *requestHandler) handleSendFailure(ctx context.Context, rc *requestContext, t *route.Target, slot *admission.Slot, p *problem.Problem, start time.Time) *problem.Problem {
	elapsed := time.Since(start)
	if cancelled := rc.problemIfEnded(ctx, p.Stage); cancelled != nil {
		slot.Release(admission.Result{Kind: cancelledResultKind(p.Stage), Latency: elapsed})
		h.emit(events.DispatchFailed, "server", t.Name, "stage", stageName(p.Stage), "kind", cancelled.Kind, "duration_ms", milliseconds(elapsed))
		return cancelled
	}
	h.failedServer = t.Name
	h.emit(events.DispatchFailed, "server", t.Name, "stage", stageName(p.Stage), "kind", p.Kind, "problem", p.Message, "duration_ms", milliseconds(elapsed))
	slot.Release(admission.Result{Kind: failureResultKind(p), Latency: elapsed})
	h.observeFailure(t, p, start)
	return p
}

// cancelledResultKind returns the result that the limiter counts for a dispatch
// cancelled at stage.
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

// observeFailure passes signs of a crash or of a cold start on to the limiter and
// the crash detector.
func (h *requestHandler) observeFailure(t *route.Target, p *problem.Problem, start time.Time) {
	switch {
	case p.Stage == outcome.StageConnect:
		t.Limiter.ObserveRefused()
		h.markCrashSuspects(t)
	case p.Stage == outcome.StageRefusedByServer:
		t.Limiter.ObserveAccepted()
	case p.Kind == problem.KindAnswerLost, p.Kind == problem.KindAnswerShort:
		h.handleConnectionLoss(t, start)
	}
}

// handleConnectionLoss registers the request as a suspect and checks whether the
// server has crashed. A request that may be retried waits for the result, so that
// it is marked before it can crash another server.
func (h *requestHandler) handleConnectionLoss(t *route.Target, start time.Time) {
	marked := h.dispatcher.crashDetector(t).ConnectionLost(h.fingerprint, start, time.Now())
	h.markFingerprints(t, marked)
	if len(marked) > 0 {
		return
	}
	if h.request.Idempotent {
		h.probeForCrash(t)
		return
	}
	go h.probeForCrash(t)
}

// probeForCrash checks the health of the server. A refused connection or another
// incarnation means that it has crashed.
func (h *requestHandler) probeForCrash(t *route.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	health, err := t.Server.Health(ctx)
	if err == nil {
		h.observeIncarnation(t, health.Incarnation)
		return
	}
	if problem.From(err).Stage == outcome.StageConnect {
		t.Limiter.ObserveRefused()
		h.markCrashSuspects(t)
	}
}

// observeIncarnation compares the incarnation in a response with the known one. A
// new one means that the server has restarted.
func (h *requestHandler) observeIncarnation(t *route.Target, id string) {
	if t.Limiter.ObserveIncarnation(id) {
		h.markCrashSuspects(t)
	}
}

func (h *requestHandler) markCrashSuspects(t *route.Target) {
	h.markFingerprints(t, h.dispatcher.crashDetector(t).CrashObserved(time.Now()))
}

func (h *requestHandler) markFingerprints(t *route.Target, fingerprints []quarantine.Fingerprint) {
	if len(fingerprints) == 0 {
		return
	}
	h.dispatcher.options.Quarantine.Mark(h.request.Service, fingerprints, time.Now())
	h.emit(events.RequestsMarked, "server", t.Name, "count", len(fingerprints))
}
