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
func (j *execution) waitForRetry(w *requestContext, p *problem.Problem) bool {
	if !j.canRetry(w, p) {
		return false
	}
	backoff := minBackoff + time.Duration(j.dispatcher.options.Random().Int64N(int64(maxBackoff-minBackoff)))
	if time.Until(j.request.Deadline) <= backoff {
		return false
	}
	if !j.dispatcher.options.RetryBudget.Spend(time.Now()) {
		return false
	}
	j.retries++
	j.emit(events.RequestRetried, "retry", j.retries, "kind", p.Kind, "stage", stageName(p.Stage), "backoff_ms", milliseconds(backoff))
	return sleep(w, backoff)
}

// canRetry reports whether sending the request again could neither run it twice
// nor be in vain. The entry retries a request whose shard has a new holder.
func (j *execution) canRetry(w *requestContext, p *problem.Problem) bool {
	switch {
	case !outcome.Conclude(p.Stage, j.request.Idempotent).Retry:
		return false
	case p.Kind == problem.KindNotHolder:
		return false
	case w.Err() != nil, w.bodyConsumed():
		return false
	default:
		return j.retries < j.dispatcher.limits().MaxRetries
	}
}

// sleep waits for d and reports false when the work ended before.
func sleep(w *requestContext, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.Done():
		return false
	}
}
