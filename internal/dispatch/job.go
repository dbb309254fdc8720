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

// job is one request on its way through the dispatcher. It belongs to the
// goroutine that handles the request, except for the methods that attempts call.
type job struct {
	d           *Dispatcher
	r           *request.Request
	fingerprint quarantine.Fingerprint
	started     time.Time
	retries     int
	// mayHaveRun reports that an earlier attempt had an unknown outcome, so that
	// a later refusal proves nothing about the request as a whole.
	mayHaveRun bool
	// failed names the server of the last failed attempt; another one is preferred.
	failed string
}

func newJob(d *Dispatcher, r *request.Request) *job {
	return &job{d: d, r: r, fingerprint: quarantine.FingerprintOf(r), started: time.Now()}
}

// run makes attempts until one is answered or none is allowed any more.
func (j *job) run(ctx context.Context) (*request.Answer, *problem.Problem) {
	work := newWork(ctx, j.r, j.d.limits().IdleTimeout)
	answer, p := j.attempts(work)
	if p != nil {
		work.end()
		return nil, j.conclude(p)
	}
	return answer, nil
}

func (j *job) attempts(w *work) (*request.Answer, *problem.Problem) {
	for {
		answer, p := j.attempt(w)
		if p == nil {
			return answer, nil
		}
		j.mayHaveRun = j.mayHaveRun || p.Outcome == outcome.Unknown
		if !j.retry(w, p) {
			return nil, p
		}
	}
}

// conclude gives the problem the outcome of the request as a whole.
func (j *job) conclude(p *problem.Problem) *problem.Problem {
	if j.mayHaveRun && p.Outcome == outcome.NotRun {
		return p.WithOutcome(outcome.Unknown)
	}
	return p
}

// end writes the final event of a request that ended here. A streamed answer
// ends when its body does.
func (j *job) end(a *request.Answer, p *problem.Problem) (*request.Answer, error) {
	if p != nil {
		j.emitProblem(p)
		j.emitEnd(p.Outcome, p.Stage, string(p.Kind))
		return nil, p
	}
	a.Holder = j.d.o.Self.Name
	if body, ok := a.Body.(*streamBody); ok {
		body.finish(j.endStream)
		return a, nil
	}
	j.emitEnd(outcome.Answered, outcome.StageWhole, "")
	return a, nil
}

func (j *job) endStream(err error) {
	if err == nil {
		j.emitEnd(outcome.Answered, outcome.StageWhole, "")
		return
	}
	verdict := outcome.Conclude(outcome.StageWritten, j.r.Idempotent)
	j.emitEnd(verdict.Outcome, outcome.StageWritten, string(problem.KindAnswerShort))
}

func (j *job) emit(e events.Event, fields ...any) {
	if j.d.o.Events == nil {
		return
	}
	all := make([]any, 0, 6+len(fields))
	all = append(all, "request_id", j.r.ID, "service", j.r.Service, "key", j.r.Key)
	j.d.o.Events.Emit(e, append(all, fields...)...)
}

func (j *job) emitProblem(p *problem.Problem) {
	e := events.RequestRefused
	if p.Outcome == outcome.Unknown {
		e = events.RequestUnknown
	}
	j.emit(e, "outcome", p.Outcome, "stage", stageName(p.Stage), "kind", p.Kind, "problem", p.Message)
}

func (j *job) emitEnd(o outcome.Outcome, stage outcome.Stage, kind string) {
	j.emit(events.RequestEnded, "outcome", o, "stage", stageName(stage), "kind", kind,
		"holder", j.d.o.Self.Name, "retries", j.retries, "duration_ms", milliseconds(time.Since(j.started)))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
