package dispatch

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/request"
)

// requestHandler executes one request. It belongs to the goroutine that handles the
// request, except for the methods that the goroutines of its dispatches call.
type requestHandler struct {
	dispatcher  *Dispatcher
	request     *request.Request
	fingerprint quarantine.Fingerprint
	started     time.Time
	retries     int
	// resubmitted is set for a request of which an earlier execution was refused.
	resubmitted bool
	// mayHaveRun is set after an attempt with an unknown outcome: from then on, a
	// refusal of a later attempt does not prove that the request has not run.
	mayHaveRun bool
	// failedServer is the name of the server of the last failed attempt; a retry
	// prefers another one.
	failedServer string
}

func newRequestHandler(d *Dispatcher, r *request.Request) *requestHandler {
	return &requestHandler{dispatcher: d, request: r, fingerprint: quarantine.FingerprintOf(r), started: time.Now()}
}

// runToEnd makes attempts until one gets a response or no further one is allowed.
func (h *requestHandler) runToEnd(ctx context.Context) (*request.Response, *problem.Problem) {
	rc := newRequestContext(ctx, h.request, h.dispatcher.limits().IdleTimeout)
	response, p := h.attemptWithRetries(rc)
	if p != nil {
		rc.release()
		return nil, h.withRequestOutcome(p)
	}
	return response, nil
}

func (h *requestHandler) attemptWithRetries(rc *requestContext) (*request.Response, *problem.Problem) {
	for {
		response, p := h.attemptOnce(rc)
		if p == nil {
			return response, nil
		}
		h.mayHaveRun = h.mayHaveRun || p.Outcome == outcome.Unknown
		if !h.waitForRetry(rc, p) {
			return nil, p
		}
	}
}

// withRequestOutcome turns the outcome of the last attempt into that of the request:
// "not run" becomes "unknown" if an earlier attempt may have run.
func (h *requestHandler) withRequestOutcome(p *problem.Problem) *problem.Problem {
	if h.mayHaveRun && p.Outcome == outcome.NotRun {
		return p.WithOutcome(outcome.Unknown)
	}
	return p
}

// finish emits the final event of the request. For a streamed response the event
// follows at the end of the body.
func (h *requestHandler) finish(response *request.Response, p *problem.Problem) (*request.Response, error) {
	if p != nil {
		h.emitProblem(p)
		h.emitEnded(p.Outcome, p.Stage, string(p.Kind))
		return nil, p
	}
	response.Holder = h.dispatcher.options.Self.Name
	if body, ok := response.Body.(*streamedBody); ok {
		body.setOnEnd(h.finishStream)
		return response, nil
	}
	h.emitEnded(outcome.Answered, outcome.StageComplete, "")
	return response, nil
}

func (h *requestHandler) finishStream(err error) {
	if err == nil {
		h.emitEnded(outcome.Answered, outcome.StageComplete, "")
		return
	}
	classification := outcome.Classify(outcome.StageWritten, h.request.Idempotent)
	h.emitEnded(classification.Outcome, outcome.StageWritten, string(problem.KindAnswerShort))
}

func (h *requestHandler) emit(e events.Event, fields ...any) {
	if h.dispatcher.options.Events == nil {
		return
	}
	allFields := make([]any, 0, 6+len(fields))
	allFields = append(allFields, "request_id", h.request.ID, "service", h.request.Service, "key", h.request.Key)
	h.dispatcher.options.Events.Emit(e, append(allFields, fields...)...)
}

func (h *requestHandler) emitProblem(p *problem.Problem) {
	e := events.RequestRefused
	if p.Outcome == outcome.Unknown {
		e = events.RequestUnknown
	}
	h.emit(e, "outcome", p.Outcome, "stage", stageName(p.Stage), "kind", p.Kind, "problem", p.Message)
}

func (h *requestHandler) emitEnded(o outcome.Outcome, stage outcome.Stage, kind string) {
	h.emit(events.RequestEnded, "outcome", o, "stage", stageName(stage), "kind", kind,
		"holder", h.dispatcher.options.Self.Name, "retries", h.retries, "duration_ms", milliseconds(time.Since(h.started)))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
