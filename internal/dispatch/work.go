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
	errDeadlinePassed = errors.New("the deadline of the request has passed")
	errHedgeLost      = errors.New("another dispatch of the request was answered first")
	errClosed         = errors.New("the caller has closed the answer")
)

// requestContext is the context of one request's attempts: it ends with the caller, with
// the deadline, or when a streamed body stalls.
type requestContext struct {
	context.Context
	cancel   context.CancelCauseFunc
	deadline *time.Timer
	// request is the request with its body under watch.
	request *request.Request
	upload  *progress.Reader
	// idleTimeout is the idleTimeout timeout of streamed bodies.
	idleTimeout time.Duration
}

func newRequestContext(parent context.Context, r *request.Request, idle time.Duration) *requestContext {
	ctx, cancel := context.WithCancelCause(parent)
	rc := &requestContext{Context: ctx, cancel: cancel, request: r, idleTimeout: idle}
	rc.deadline = time.AfterFunc(time.Until(r.Deadline), func() { cancel(errDeadlinePassed) })
	return rc
}

// monitorUpload puts a streamed body under watch. From its first dispatch on, it
// is limited by lack of progress; the deadline counts again, with the time that
// the request had at first, once the body is through.
func (rc *requestContext) monitorUpload() {
	if !rc.request.Streamed() || rc.upload != nil {
		return
	}
	rest := max(time.Until(rc.request.Deadline), 0)
	rc.deadline.Stop()
	stall := func() { rc.cancel(progress.ErrStalled) }
	rc.upload = progress.NewReader(rc.request.Body, rc.idleTimeout, stall, func() { rc.deadline.Reset(rest) })
	watched := *rc.request
	watched.Body = rc.upload
	rc.request = &watched
}

// bodyConsumed reports whether a part of a streamed body is gone.
func (rc *requestContext) bodyConsumed() bool {
	return rc.upload != nil && rc.upload.Bytes() > 0
}

// stopDeadline frees a streamed answer from the deadline.
func (rc *requestContext) stopDeadline() {
	rc.deadline.Stop()
}

// release frees the timers and the context.
func (rc *requestContext) release() {
	rc.deadline.Stop()
	if rc.upload != nil {
		rc.upload.Stop()
	}
	rc.cancel(errClosed)
}

// problemIfEnded returns why ctx, the work or a part of it, ended at stage, or nil while it goes on.
func (rc *requestContext) problemIfEnded(ctx context.Context, stage outcome.Stage) *problem.Problem {
	return problemFromCause(ctx, rc.request.ID, stage)
}

// problemFromCause turns the cause of a context's end into the problem of request id.
func problemFromCause(ctx context.Context, id string, stage outcome.Stage) *problem.Problem {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return nil
	case errors.Is(cause, errDeadlinePassed), errors.Is(cause, context.DeadlineExceeded):
		return problem.Wrap(cause, problem.KindDeadlinePassed, stage, "request %s ran out of time", id)
	case errors.Is(cause, progress.ErrStalled):
		return problem.Wrap(cause, problem.KindStalled, stage, "the body of request %s stalled", id)
	default:
		return problem.Wrap(cause, problem.KindCallerGone, stage, "request %s was cancelled", id)
	}
}
