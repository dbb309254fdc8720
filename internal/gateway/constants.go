package gateway

import "time"

const (
	// defaultPatience bounds calls whose caller does not say how long it waits.
	defaultPatience = 30 * time.Second
	// ackTimeout is how long the holder may take to acknowledge an ask before
	// this instance chooses by itself: several round trips between domains.
	ackTimeout = 120 * time.Millisecond
	// suspectFor is how long a holder that missed an ask is not asked.
	suspectFor = 250 * time.Millisecond
	// answerMargin is kept from the caller's patience for the way back.
	answerMargin = 25 * time.Millisecond
	// shortestAttempt is the least time in which an attempt makes sense.
	shortestAttempt = 15 * time.Millisecond
	// retryWithoutConfig is when to come back to an instance that knows no routes yet.
	retryWithoutConfig = 300 * time.Millisecond
	// retryElsewhere is when to come back, to another instance.
	retryElsewhere = 20 * time.Millisecond
	// retryDefault is when to come back when nothing better is known.
	retryDefault = 100 * time.Millisecond
	// sendsPerServer bounds the attempts of one call; a server that sheds may be asked again.
	sendsPerServer = 2
	// factsOld without a reading of the store by anybody, cold starts may be unknown:
	// later than the followers' readings in place of a silent holder.
	factsOld = 1500 * time.Millisecond
	// probeTimeout bounds the question whether a server is cold; a sound one answers
	// in milliseconds, and the request waits for it.
	probeTimeout = 100 * time.Millisecond
	// localLimit bounds what one instance sends to one server on its own.
	localLimit = 4
)
