package dispatch

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

const (
	// The time before a retry is random between minBackoff and maxBackoff.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// waitForRetry decides whether the request is retried after p. If so, it waits for
// the backoff and returns true.
func (h *requestHandler) waitForRetry(rc *requestContext, p *problem.Problem) bool {
	if !h.canRetry(rc, p) {
		return false
	}
	backoff := minBackoff + time.Duration(h.dispatcher.options.Random().Int64N(int64(maxBackoff-minBackoff)))
	if time.Until(h.request.Deadline) <= backoff {
		return false
	}
	if !h.dispatcher.options.RetryBudget.TrySpend(time.Now()) {
		return false
	}
	h.retries++
	h.emit(events.RequestRetried, "retry", h.retries, "kind", p.Kind, "stage", stageName(p.Stage), "backoff_ms", milliseconds(backoff))
	return sleep(rc, backoff)
}

// canRetry reports whether a retry is safe and may succeed. It is not safe when the
// request could run twice, and it is left to the entry instance when this instance no
// longer holds the shard. A streamed body of which a part was sent cannot be sent
// again.
func (h *requestHandler) canRetry(rc *requestContext, p *problem.Problem) bool {
	switch {
	case !outcome.Classify(p.Stage, h.request.Idempotent).Retryable:
		return false
	case p.Kind == problem.KindNotHolder:
		return false
	case rc.Err() != nil, rc.bodyConsumed():
		return false
	default:
		return h.retries < h.dispatcher.limits().MaxRetries
	}
}

// sleep waits for d. It returns false if the request ends before that.
func sleep(rc *requestContext, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-rc.Done():
		return false
	}
}
