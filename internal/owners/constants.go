package owners

import "time"

const (
	// GrantDuration is how long a grant lasts without renewal. A server that falls silent
	// keeps its keys unserved for as long; a holder is replaced within it.
	GrantDuration = 3 * time.Second
	// renewEvery leaves three renewals within a hold.
	renewEvery = 900 * time.Millisecond
	// OrderTimeout bounds one call to a server; a sound one answers in milliseconds.
	OrderTimeout = 400 * time.Millisecond
	// ReleaseTimeout bounds a release, which is answered once the running work has ended.
	ReleaseTimeout = 1500 * time.Millisecond
	// retryEvery is the wait after an order without an answer.
	retryEvery = 200 * time.Millisecond
	// clockDrift is how much slower a server's clock may run.
	clockDrift = 0.02
	// holdMargin covers timers and scheduling at both ends.
	holdMargin = 100 * time.Millisecond
	// ordersAtOnce bounds the orders under way to one server, each of which takes a connection.
	ordersAtOnce = 2
	// voidsAtMost grants are sent to a last owner to make late ones void; one that
	// answers none of them is waited for.
	voidsAtMost = 2
	// suspectAfter orders without an answer in a row, a new owner is looked for.
	suspectAfter = 3
	// suspectFor is how long a server that does not answer gets no keys; its entry
	// is removed, or it is back, within that time.
	suspectFor = 4 * time.Second
	// settleFor without a change in the number of servers, the first plan is made;
	// servers report every second or two.
	settleFor = 1800 * time.Millisecond
	// fenceBits leaves each epoch a million fences.
	fenceBits = 20
	// NumKeys is the number of keys of a service.
	NumKeys = 1 << 16

	// busyShare is the use of a server's slots above which keys are moved off it.
	busyShare = 0.7
	// busyLead is by how much it must exceed the average use, so that noise moves nothing.
	busyLead = 0.25
	// leastMove is the least rate, in requests/s, that is worth a move: each one
	// stops its keys for as long as their running work takes.
	leastMove = 1.0
	// dominantShare of a server's requests for one key, only a faster server or
	// fewer neighbours help.
	dominantShare = 0.5
	// clearlyFaster is how much faster a server must be measured before a key
	// moves for its sake; averages of some answers differ by chance.
	clearlyFaster = 1.3
	// restFor is how long a range stays after it was moved for load: a server's
	// speed under that load must be seen first, and each move interrupts its keys.
	restFor = 4 * time.Second
	// fewestMoves of a service may be under way at the same time, and in a larger one
	// as many as there are groups of serversPerMove servers: servers that join a
	// fleet of 200 have keys within seconds, and nine tenths of it are not disturbed.
	fewestMoves    = 6
	serversPerMove = 10
	// joinShare is the part of an average server's keys that a new server starts with.
	joinShare = 0.5
	// spanLimit bounds the ranges of one server, which are renewed one by one.
	spanLimit = 8
)
