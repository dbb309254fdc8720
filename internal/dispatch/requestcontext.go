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
	errDeadlinePassed = errors.New("request deadline exceeded")
	errHedgeLost      = errors.New("the other dispatch of the hedged request was answered first")
	errClosed         = errors.New("response body closed by the caller")
)

// requestContext is the context of all attempts of one request. It ends with the
// caller's context, at the deadline, or when the transfer of a streamed body stalls.
type requestContext struct {
	context.Context
	cancel   context.CancelCauseFunc
	deadline *time.Timer
	// request is the request to send, with a monitored body if that is streamed.
	request *request.Request
	upload  *progress.Reader
	// idleTimeout ends the transfer of a streamed body that makes no progress.
	idleTimeout time.Duration
}

func newRequestContext(parent context.Context, r *request.Request, idleTimeout time.Duration) *requestContext {
	ctx, cancel := context.WithCancelCause(parent)
	rc := &requestContext{Context: ctx, cancel: cancel, request: r, idleTimeout: idleTimeout}
	rc.deadline = time.AfterFunc(time.Until(r.Deadline), func() { cancel(errDeadlinePassed) })
	return rc
}

// monitorUpload starts to monitor a streamed request body. From the first dispatch
// on, the idle timeout limits the upload instead of the deadline. When the body has
// been sent, the deadline applies again, with the time that was left at the first
// dispatch.
func (rc *requestContext) monitorUpload() {
	if !rc.request.Streamed() || rc.upload != nil {
		return
	}
	remaining := max(time.Until(rc.request.Deadline), 0)
	rc.deadline.Stop()
	onStall := func() { rc.cancel(progress.ErrStalled) }
	rc.upload = progress.NewReader(rc.request.Body, rc.idleTimeout, onStall, func() { rc.deadline.Reset(remaining) })
	monitored := *rc.request
	monitored.Body = rc.upload
	rc.request = &monitored
}

// bodyConsumed reports whether a part of a streamed request body was read, so that
// the request cannot be sent again.
func (rc *requestContext) bodyConsumed() bool {
	return rc.upload != nil && rc.upload.Bytes() > 0
}

// stopDeadline lifts the deadline for a streamed response, which the idle timeout
// limits.
func (rc *requestContext) stopDeadline() {
	rc.deadline.Stop()
}

// release stops the timers and cancels the context.
func (rc *requestContext) release() {
	rc.deadline.Stop()
	if rc.upload != nil {
		rc.upload.Stop()
	}
	rc.cancel(errClosed)
}

// problemIfEnded returns why ctx, which is rc or derived from it, ended at stage, or
// nil if it has not ended.
func (rc *requestContext) problemIfEnded(ctx context.Context, stage outcome.Stage) *problem.Problem {
	return problemFromCause(ctx, rc.request.ID, stage)
}

// problemFromCause turns the cause with which ctx was cancelled into the problem of
// request id. It returns nil if ctx has not ended.
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
