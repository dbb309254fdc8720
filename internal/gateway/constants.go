package gateway

import "time"

const (
	// defaultCallTimeout bounds calls whose caller does not say how long it waits.
	defaultCallTimeout = 30 * time.Second
	// ackTimeout is how long the holder may take to acknowledge an ask before
	// this instance chooses by itself: several round trips between domains.
	ackTimeout = 120 * time.Millisecond
	// holderBackoff is how long a holder that missed an ask is not asked.
	holderBackoff = 250 * time.Millisecond
	// responseMargin is kept from the caller's patience for the way back.
	responseMargin = 25 * time.Millisecond
	// minAttemptTime is the least time in which an attempt makes sense.
	minAttemptTime = 15 * time.Millisecond
	// retryAfterNoConfig is when to come back to an instance that knows no routes yet.
	retryAfterNoConfig = 300 * time.Millisecond
	// retryAfterStopping is when to come back, to another instance.
	retryAfterStopping = 20 * time.Millisecond
	// defaultRetryAfter is when to come back when nothing better is known.
	defaultRetryAfter = 100 * time.Millisecond
	// maxSendsPerServer bounds the attempts of one call; a server that sheds may be asked again.
	maxSendsPerServer = 2
	// maxStoreAge without a reading of the store by anybody, cold starts may be unknown:
	// later than the followers' readings in place of a silent holder.
	maxStoreAge = 1500 * time.Millisecond
	// healthCheckTimeout bounds the question whether a server is cold; a sound one answers
	// in milliseconds, and the request waits for it.
	healthCheckTimeout = 100 * time.Millisecond
	// maxLocalInFlight bounds what one instance sends to one server on its own.
	maxLocalInFlight = 4
)
