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
func (j *execution) runToEnd(ctx context.Context) (*request.Answer, *problem.Problem) {
	work := newRequestContext(ctx, j.request, j.dispatcher.limits().IdleTimeout)
	answer, p := j.attemptWithRetries(work)
	if p != nil {
		work.release()
		return nil, j.withRequestOutcome(p)
	}
	return answer, nil
}

func (j *execution) attemptWithRetries(w *requestContext) (*request.Answer, *problem.Problem) {
	for {
		answer, p := j.attemptOnce(w)
		if p == nil {
			return answer, nil
		}
		j.mayHaveRun = j.mayHaveRun || p.Outcome == outcome.Unknown
		if !j.waitForRetry(w, p) {
			return nil, p
		}
	}
}

// withRequestOutcome gives the problem the outcome of the request as a whole.
func (j *execution) withRequestOutcome(p *problem.Problem) *problem.Problem {
	if j.mayHaveRun && p.Outcome == outcome.NotRun {
		return p.WithOutcome(outcome.Unknown)
	}
	return p
}

// finish writes the final event of a request that ended here. A streamed answer
// ends when its body does.
func (j *execution) finish(a *request.Answer, p *problem.Problem) (*request.Answer, error) {
	if p != nil {
		j.emitProblem(p)
		j.emitEnded(p.Outcome, p.Stage, string(p.Kind))
		return nil, p
	}
	a.Holder = j.dispatcher.options.Self.Name
	if body, ok := a.Body.(*streamedBody); ok {
		body.setOnEnd(j.finishStream)
		return a, nil
	}
	j.emitEnded(outcome.Answered, outcome.StageWhole, "")
	return a, nil
}

func (j *execution) finishStream(err error) {
	if err == nil {
		j.emitEnded(outcome.Answered, outcome.StageWhole, "")
		return
	}
	verdict := outcome.Conclude(outcome.StageWritten, j.request.Idempotent)
	j.emitEnded(verdict.Outcome, outcome.StageWritten, string(problem.KindAnswerShort))
}

func (j *execution) emit(e events.Event, fields ...any) {
	if j.dispatcher.options.Events == nil {
		return
	}
	all := make([]any, 0, 6+len(fields))
	all = append(all, "request_id", j.request.ID, "service", j.request.Service, "key", j.request.Key)
	j.dispatcher.options.Events.Emit(e, append(all, fields...)...)
}

func (j *execution) emitProblem(p *problem.Problem) {
	e := events.RequestRefused
	if p.Outcome == outcome.Unknown {
		e = events.RequestUnknown
	}
	j.emit(e, "outcome", p.Outcome, "stage", stageName(p.Stage), "kind", p.Kind, "problem", p.Message)
}

func (j *execution) emitEnded(o outcome.Outcome, stage outcome.Stage, kind string) {
	j.emit(events.RequestEnded, "outcome", o, "stage", stageName(stage), "kind", kind,
		"holder", j.dispatcher.options.Self.Name, "retries", j.retries, "duration_ms", milliseconds(time.Since(j.started)))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
