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
	// maxSlowdown bounds the service time of the slowest server, relative to the average, that
	// is assumed for a new attempt: one server that has stalled must not empty the queue.
	maxSlowdown = 2
	// longTermWeight is the weight of the newest sample in the long-term moving
	// average of the service time. It covers about twenty responses, so that random
	// variation does not make keys move.
	longTermWeight = 0.05
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
	// returnPatience is the part of their remaining time, as a divisor, that callers wait
	// before they return. A later place would stay empty.
	returnPatience = 3
	// maxReturnDelay bounds the retry delay of a booked place: a third of the longest time
	// that callers wait.
	maxReturnDelay = 4 * time.Second
	// promisedTag is the tag of attempts without a team that return to their places.
	promisedTag = -1
	// maxEarlyReturn and maxLateReturn are how much earlier and later than told a caller may
	// return to its place: two hops and the time that a busy instance needs.
	maxEarlyReturn = 50 * time.Millisecond
	maxLateReturn  = 300 * time.Millisecond
	// minReturnShare is the least share of the throughput of a queue that is promised to
	// returning callers. While new attempts alone exceed the throughput, more would only
	// make new ones late in place of those that are late already.
	minReturnShare = 0.05
	// arrivalTimeConstant is the time constant of the decay of the arrivals of a queue.
	arrivalTimeConstant = time.Second
	// claimWeight is the weight of the newest place in the moving average of the share of
	// places that are claimed, which then covers about twenty places.
	claimWeight = 0.05
	// maxDeadlineError is how much the deadline of a request may differ between attempts
	// over two instances.
	maxDeadlineError = 50 * time.Millisecond
	// refusalMemoryTime is how long refusals are remembered: until the latest return to a place.
	refusalMemoryTime = maxReturnDelay + maxLateReturn
	// keyRateTimeConstant is the time constant of the exponential decay of the
	// request rate of a key. Hot keys last for some seconds; a shorter average
	// follows noise.
	keyRateTimeConstant = 1000 * time.Millisecond
	// hedgeBudgetPart is the part of the retry budget that hedges may use. Retries, without
	// which requests fail, may use all of it.
	hedgeBudgetPart = 0.5
	// minFreeForHedge is the share of the slots of a service that must be free for a hedge.
	minFreeForHedge = 0.1
	// NumKeys is the number of keys of a service.
	NumKeys = 1 << 16
)
