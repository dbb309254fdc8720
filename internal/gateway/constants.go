package gateway

import "time"

const (
	// defaultCallTimeout applies to calls whose caller states no timeout.
	defaultCallTimeout = 30 * time.Second
	// ackTimeout is how long the holder may take to acknowledge an attempt before
	// this instance chooses a server by itself: several round trips between failure
	// domains.
	ackTimeout = 120 * time.Millisecond
	// minLocalBackoff is how long an instance without a holder sends nothing to a server that
	// did not take its last request. It doubles up to maxBackoffDoublings times, to the two
	// seconds after which the list shows that a server has ended.
	minLocalBackoff     = 500 * time.Millisecond
	maxBackoffDoublings = 2
	// holderBackoff is how long no attempt is sent to the holder after it did not
	// acknowledge one. It is also the retry delay suggested when the local scheduler
	// refuses an attempt.
	holderBackoff = 250 * time.Millisecond
	// capLogInterval is how often an instance logs the refusals of one team by its usage cap.
	// Each refused call has its own line besides.
	capLogInterval = 5 * time.Second
	// responseMargin is subtracted from the caller's timeout for the way back.
	responseMargin = 25 * time.Millisecond
	// minAttemptTime is the time until the deadline below which no attempt is started.
	minAttemptTime = 15 * time.Millisecond
	// retryAfterNoConfig is the retry delay suggested while the instance has no
	// configuration.
	retryAfterNoConfig = 300 * time.Millisecond
	// retryAfterStopping is the retry delay suggested while the instance is stopping;
	// another instance will serve the retry.
	retryAfterStopping = 20 * time.Millisecond
	// defaultRetryAfter is the suggested retry delay when no better estimate is known.
	defaultRetryAfter = 100 * time.Millisecond
	// maxSendsPerServer limits the attempts of one call, to this many per server on
	// average. It exceeds 1, as a server that shed the call may be tried again.
	maxSendsPerServer = 2
	// maxStoreAge is the age of the last store read by any instance above which a
	// cold start may be unknown. It leaves time for the followers' own reads, which
	// replace those of a silent holder.
	maxStoreAge = 1500 * time.Millisecond
	// healthCheckTimeout limits the health check that finds out whether a server is
	// cold. A healthy server answers in milliseconds, and the call waits for it.
	healthCheckTimeout = 100 * time.Millisecond
	// maxLocalInFlight limits the concurrent attempts of one instance at one server that the
	// holder has not assigned.
	maxLocalInFlight = 4
	// localLimitShare is the share of a server's rate limit that all instances without a
	// holder use together. A holder that they have lost may go on to use all of it.
	localLimitShare = 0.5
)
