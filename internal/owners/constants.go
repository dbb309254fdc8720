package owners

import "time"

const (
	// GrantDuration is how long a grant lasts without renewal. A server that falls silent
	// keeps its keys unserved for as long; a holder is replaced within it.
	GrantDuration = 3 * time.Second
	// renewInterval leaves three renewals within a hold.
	renewInterval = 900 * time.Millisecond
	// OrderTimeout bounds one call to a server; a sound one answers in milliseconds.
	OrderTimeout = 400 * time.Millisecond
	// ReleaseTimeout bounds a release, which is answered once the running work has ended.
	ReleaseTimeout = 1500 * time.Millisecond
	// retryInterval is the wait after an order without an answer.
	retryInterval = 200 * time.Millisecond
	// maxClockDrift is how much slower a server's clock may run.
	maxClockDrift = 0.02
	// expiryMargin covers timers and scheduling at both ends.
	expiryMargin = 100 * time.Millisecond
	// maxOrdersInFlight bounds the orders under way to one server, each of which takes a connection.
	maxOrdersInFlight = 2
	// maxSupersedingGrants grants are sent to a last owner to make late ones void; one that
	// answers none of them is waited for.
	maxSupersedingGrants = 2
	// suspectThreshold orders without an answer in a row, a new owner is looked for.
	suspectThreshold = 3
	// suspectDuration is how long a server that does not answer gets no keys; its entry
	// is removed, or it is back, within that time.
	suspectDuration = 4 * time.Second
	// firstPlanDelay without a change in the number of servers, the first plan is made;
	// servers report every second or two.
	firstPlanDelay = 1800 * time.Millisecond
	// fenceBits leaves each epoch a million fences.
	fenceBits = 20
	// NumKeys is the number of keys of a service.
	NumKeys = 1 << 16

	// busyUtilization is the use of a server's slots above which keys are moved off it.
	busyUtilization = 0.7
	// minUtilizationExcess is by how much it must exceed the average use, so that noise moves nothing.
	minUtilizationExcess = 0.25
	// minMoveRate is the least rate, in requests/s, that is worth a move: each one
	// stops its keys for as long as their running work takes.
	minMoveRate = 1.0
	// dominantShare of a server's requests for one key, only a faster server or
	// fewer neighbours help.
	dominantShare = 0.5
	// minSpeedup is how much faster a server must be measured before a key
	// moves for its sake; averages of some answers differ by chance.
	minSpeedup = 1.3
	// moveCooldown is how long a range stays after it was moved for load: a server's
	// speed under that load must be seen first, and each move interrupts its keys.
	moveCooldown = 4 * time.Second
	// minConcurrentMoves of a service may be under way at the same time, and in a larger one
	// as many as there are groups of serversPerMove servers: servers that join a
	// fleet of 200 have keys within seconds, and nine tenths of it are not disturbed.
	minConcurrentMoves = 6
	serversPerMove     = 10
	// joinLoadShare is the part of an average server's keys that a new server starts with.
	joinLoadShare = 0.5
	// maxRangesPerServer bounds the ranges of one server, which are renewed one by one.
	maxRangesPerServer = 8
)
