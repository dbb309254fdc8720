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

// execution is one request on its way through the dispatcher. It belongs to the
// goroutine that handles the request, except for the methods that attempts call.
type execution struct {
	dispatcher  *Dispatcher
	request     *request.Request
	fingerprint quarantine.Fingerprint
	started     time.Time
	retries     int
	// mayHaveRun reports that an earlier attempt had an unknown outcome, so that
	// a later refusal proves nothing about the request as a whole.
	mayHaveRun bool
	// failedServer names the server of the last failedServer attempt; another one is preferred.
	failedServer string
}

func newExecution(d *Dispatcher, r *request.Request) *execution {
	return &execution{dispatcher: d, request: r, fingerprint: quarantine.FingerprintOf(r), started: time.Now()}
}

// runToEnd makes attempts until one is answered or none is allowed any more.
func (ex *execution) runToEnd(ctx context.Context) (*request.Answer, *problem.Problem) {
	rc := newRequestContext(ctx, ex.request, ex.dispatcher.limits().IdleTimeout)
	answer, p := ex.attemptWithRetries(rc)
	if p != nil {
		rc.release()
		return nil, ex.withRequestOutcome(p)
	}
	return answer, nil
}

func (ex *execution) attemptWithRetries(rc *requestContext) (*request.Answer, *problem.Problem) {
	for {
		answer, p := ex.attemptOnce(rc)
		if p == nil {
			return answer, nil
		}
		ex.mayHaveRun = ex.mayHaveRun || p.Outcome == outcome.Unknown
		if !ex.waitForRetry(rc, p) {
			return nil, p
		}
	}
}

// withRequestOutcome gives the problem the outcome of the request as a whole.
func (ex *execution) withRequestOutcome(p *problem.Problem) *problem.Problem {
	if ex.mayHaveRun && p.Outcome == outcome.NotRun {
		return p.WithOutcome(outcome.Unknown)
	}
	return p
}

// finish writes the final event of a request that ended here. A streamed answer
// ends when its body does.
func (ex *execution) finish(a *request.Answer, p *problem.Problem) (*request.Answer, error) {
	if p != nil {
		ex.emitProblem(p)
		ex.emitEnded(p.Outcome, p.Stage, string(p.Kind))
		return nil, p
	}
	a.Holder = ex.dispatcher.options.Self.Name
	if body, ok := a.Body.(*streamedBody); ok {
		body.setOnEnd(ex.finishStream)
		return a, nil
	}
	ex.emitEnded(outcome.Answered, outcome.StageWhole, "")
	return a, nil
}

func (ex *execution) finishStream(err error) {
	if err == nil {
		ex.emitEnded(outcome.Answered, outcome.StageWhole, "")
		return
	}
	verdict := outcome.Conclude(outcome.StageWritten, ex.request.Idempotent)
	ex.emitEnded(verdict.Outcome, outcome.StageWritten, string(problem.KindAnswerShort))
}

func (ex *execution) emit(e events.Event, fields ...any) {
	if ex.dispatcher.options.Events == nil {
		return
	}
	all := make([]any, 0, 6+len(fields))
	all = append(all, "request_id", ex.request.ID, "service", ex.request.Service, "key", ex.request.Key)
	ex.dispatcher.options.Events.Emit(e, append(all, fields...)...)
}

func (ex *execution) emitProblem(p *problem.Problem) {
	e := events.RequestRefused
	if p.Outcome == outcome.Unknown {
		e = events.RequestUnknown
	}
	ex.emit(e, "outcome", p.Outcome, "stage", stageName(p.Stage), "kind", p.Kind, "problem", p.Message)
}

func (ex *execution) emitEnded(o outcome.Outcome, stage outcome.Stage, kind string) {
	ex.emit(events.RequestEnded, "outcome", o, "stage", stageName(stage), "kind", kind,
		"holder", ex.dispatcher.options.Self.Name, "retries", ex.retries, "duration_ms", milliseconds(time.Since(ex.started)))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
