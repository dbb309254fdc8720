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

// retry decides whether the request is sent again and waits for the backoff.
func (j *job) retry(w *work, p *problem.Problem) bool {
	if !j.mayRetry(w, p) {
		return false
	}
	backoff := minBackoff + time.Duration(j.d.o.Random().Int64N(int64(maxBackoff-minBackoff)))
	if time.Until(j.r.Deadline) <= backoff {
		return false
	}
	if !j.d.o.RetryBudget.Spend(time.Now()) {
		return false
	}
	j.retries++
	j.emit(events.RequestRetried, "retry", j.retries, "kind", p.Kind, "stage", stageName(p.Stage), "backoff_ms", milliseconds(backoff))
	return sleep(w, backoff)
}

// mayRetry reports whether sending the request again could neither run it twice
// nor be in vain. The entry retries a request whose shard has a new holder.
func (j *job) mayRetry(w *work, p *problem.Problem) bool {
	switch {
	case !outcome.Conclude(p.Stage, j.r.Idempotent).Retry:
		return false
	case p.Kind == problem.KindNotHolder:
		return false
	case w.Err() != nil, w.bodyUsed():
		return false
	default:
		return j.retries < j.d.limits().MaxRetries
	}
}

// sleep waits for d and reports false when the work ended before.
func sleep(w *work, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.Done():
		return false
	}
}
