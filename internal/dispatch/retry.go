package dispatch

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

const (
	// minBackoff and maxBackoff bound the pause before a retry.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// waitForRetry decides whether the request is sent again and waits for the backoff.
func (ex *execution) waitForRetry(rc *requestContext, p *problem.Problem) bool {
	if !ex.canRetry(rc, p) {
		return false
	}
	backoff := minBackoff + time.Duration(ex.dispatcher.options.Random().Int64N(int64(maxBackoff-minBackoff)))
	if time.Until(ex.request.Deadline) <= backoff {
		return false
	}
	if !ex.dispatcher.options.RetryBudget.Spend(time.Now()) {
		return false
	}
	ex.retries++
	ex.emit(events.RequestRetried, "retry", ex.retries, "kind", p.Kind, "stage", stageName(p.Stage), "backoff_ms", milliseconds(backoff))
	return sleep(rc, backoff)
}

// canRetry reports whether sending the request again could neither run it twice
// nor be in vain. The entry retries a request whose shard has a new holder.
func (ex *execution) canRetry(rc *requestContext, p *problem.Problem) bool {
	switch {
	case !outcome.Conclude(p.Stage, ex.request.Idempotent).Retry:
		return false
	case p.Kind == problem.KindNotHolder:
		return false
	case rc.Err() != nil, rc.bodyConsumed():
		return false
	default:
		return ex.retries < ex.dispatcher.limits().MaxRetries
	}
}

// sleep waits for d and reports false when the work ended before.
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
