package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/progress"
	"peridotmoor.org/peridotmoor/internal/request"
)

var (
	errDeadline  = errors.New("the deadline of the request has passed")
	errAnswered  = errors.New("another dispatch of the request was answered first")
	errCallerEnd = errors.New("the caller has closed the answer")
)

// work is the context of one request's attempts: it ends with the caller, with
// the deadline, or when a streamed body stalls.
type work struct {
	context.Context
	cancel   context.CancelCauseFunc
	deadline *time.Timer
	// request is the request with its body under watch.
	request *request.Request
	upload  *progress.Reader
	// idle is the idle timeout of streamed bodies.
	idle time.Duration
}

func newWork(parent context.Context, r *request.Request, idle time.Duration) *work {
	ctx, cancel := context.WithCancelCause(parent)
	w := &work{Context: ctx, cancel: cancel, request: r, idle: idle}
	w.deadline = time.AfterFunc(time.Until(r.Deadline), func() { cancel(errDeadline) })
	return w
}

// startUpload puts a streamed body under watch. From its first dispatch on, it
// is limited by lack of progress; the deadline counts again, with the time that
// the request had at first, once the body is through.
func (w *work) startUpload() {
	if !w.request.Streamed() || w.upload != nil {
		return
	}
	rest := max(time.Until(w.request.Deadline), 0)
	w.deadline.Stop()
	stall := func() { w.cancel(progress.ErrStalled) }
	w.upload = progress.NewReader(w.request.Body, w.idle, stall, func() { w.deadline.Reset(rest) })
	watched := *w.request
	watched.Body = w.upload
	w.request = &watched
}

// bodyUsed reports whether a part of a streamed body is gone.
func (w *work) bodyUsed() bool {
	return w.upload != nil && w.upload.Bytes() > 0
}

// startDownload frees a streamed answer from the deadline.
func (w *work) startDownload() {
	w.deadline.Stop()
}

// end frees the timers and the context.
func (w *work) end() {
	w.deadline.Stop()
	if w.upload != nil {
		w.upload.Stop()
	}
	w.cancel(errCallerEnd)
}

// problem returns why ctx, the work or a part of it, ended at stage, or nil while it goes on.
func (w *work) problem(ctx context.Context, stage outcome.Stage) *problem.Problem {
	return endProblem(ctx, w.request.ID, stage)
}

// endProblem turns the cause of a context's end into the problem of request id.
func endProblem(ctx context.Context, id string, stage outcome.Stage) *problem.Problem {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return nil
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return problem.Wrap(cause, problem.KindDeadlinePassed, stage, "request %s ran out of time", id)
	case errors.Is(cause, progress.ErrStalled):
		return problem.Wrap(cause, problem.KindStalled, stage, "the body of request %s stalled", id)
	default:
		return problem.Wrap(cause, problem.KindCallerGone, stage, "request %s was cancelled", id)
	}
}
