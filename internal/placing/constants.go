package placing

import "time"

const (
	// minSurvivalDelay is the time after a lost connection from which on a response
	// proves that the server survived: responses sent before a crash have arrived by then.
	minSurvivalDelay = 100 * time.Millisecond
	// maxSurvivalDelay is the time after which a response no longer proves it: a server
	// that crashed restarts within some seconds, possibly under the same name.
	maxSurvivalDelay = time.Second
	// defaultServiceTime is assumed for a server that has not responded yet.
	defaultServiceTime = 150 * time.Millisecond
	// serviceTimeWeight is the weight of the newest sample in the moving average of
	// the service time, which then covers about the last eight responses.
	serviceTimeWeight = 0.12
	// deadlineMargin is how many average service times must remain until the
	// deadline: service times vary, and a request that is cut off has wasted a slot.
	deadlineMargin = 1.3
	// slowdownTTL is how long a reported slowdown factor is used. The load of other
	// workloads on the same machine changes several times a second.
	slowdownTTL = 300 * time.Millisecond
	// crossDomainPenalty is the extra time to a server in another failure domain: two hops.
	crossDomainPenalty = 3 * time.Millisecond
	// largeCrossDomainPenalty keeps large requests in their failure domain, where
	// transferring their bytes is cheap.
	largeCrossDomainPenalty = 400 * time.Millisecond
	// minFailureBackoff and maxFailureBackoff bound how long a server gets no work
	// after a failure; the time doubles with each consecutive failure.
	minFailureBackoff = 200 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
	// slotOvercommit is how many requests beyond its slots a busy server gets from
	// its queue, so that a slot does not idle for the round trip after a request ends.
	slotOvercommit = 1
	// shedBackoff is how long a server gets no work after it shed a request although
	// it had free slots.
	shedBackoff = 50 * time.Millisecond
	// minRateBurst is the least burst of the token bucket of a server with a limited rate.
	// A cold server falls over under more.
	minRateBurst = 1.5
	// limitBurstTime is how much of the limit that a server names adds up while it gets
	// fewer requests. Limits are stated for a second.
	limitBurstTime = time.Second
	// minColdStartChange is how much later a reported end of a cold start must be
	// than the one reported before to count as a change.
	minColdStartChange = time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay suggested with a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// keyRateTimeConstant is the time constant of the exponential decay of the
	// request rate of a key. Hot keys last for some seconds; a shorter average
	// follows noise.
	keyRateTimeConstant = 1000 * time.Millisecond
	// steadyRateTimeConstant is the time constant of the rate by which servers are balanced.
	// A server has about five requests/s, whose number varies by 20% in shorter averages.
	steadyRateTimeConstant = 15 * time.Second
	// minSteadySeconds is the least time that a steady rate is an average of.
	minSteadySeconds = 1.0
	// minKeyCount is the decayed count that is taken for none.
	minKeyCount = 0.001
	// A key whose steady count is above cooledCount, and cooledRatio times its short one, has
	// cooled down: it would count as loaded for a long time after a burst.
	cooledCount = 6
	cooledRatio = 60
	// NumKeys is the number of keys of a service.
	NumKeys = 1 << 16
)
