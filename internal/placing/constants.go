package placing

import "time"

const (
	// defaultServiceTime is the assumed service time of a server that has not answered yet.
	defaultServiceTime = 150 * time.Millisecond
	// serviceTimeWeight is the weight of the newest answer in the average service time:
	// about the last eight answers count.
	serviceTimeWeight = 0.12
	// deadlineMargin is how many average service times must remain: the work of a
	// request varies, and one that is cut off has wasted a slot.
	deadlineMargin = 1.3
	// longTermWeight is the weight of the newest answer in a server's long-term
	// average: the last twenty count, so that chance moves no keys.
	longTermWeight = 0.05
	// slowdownTTL is how long a server's report of its machine's speed is
	// believed; neighbours change several times a second.
	slowdownTTL = 300 * time.Millisecond
	// crossDomainPenalty is the extra time of a server in another failure domain: two hops.
	crossDomainPenalty = 3 * time.Millisecond
	// largeCrossDomainPenalty is what keeps large requests in their failure domain,
	// where their bytes are cheap.
	largeCrossDomainPenalty = 400 * time.Millisecond
	// minFailureBackoff and longestSuspicion bound how long a server that failed gets
	// no work; it doubles with each failure in a row.
	minFailureBackoff   = 200 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
	// slotOvercommit is how many requests beyond its slots a busy server gets from its
	// queue, so that a slot does not stay empty for the round trip of its end.
	slotOvercommit = 1
	// shedBackoff is how long a server that shed work while it had free slots gets none.
	shedBackoff = 50 * time.Millisecond
	// coldStartBurst is how many requests a cold server may get at once.
	coldStartBurst = 1.5
	// minColdStartChange is by how much the told end of a cold start must differ to be news.
	minColdStartChange = time.Second
	// minRetryAfter and longestRetry bound the advice when to come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter  = 2 * time.Second
	// keyRateTimeConstant is the decay of the request rate of a key: hot keys last
	// some seconds, and shorter averages follow noise.
	keyRateTimeConstant = 1000 * time.Millisecond
	// NumKeys is the number of keys of a service.
	NumKeys = 1 << 16
)
