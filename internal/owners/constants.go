package owners

import "time"

const (
	// GrantDuration is how long a grant is valid without renewal. The keys of a server
	// that stops answering are unavailable for this long. A new holder takes over
	// within it, so that a change of holder does not let grants expire.
	GrantDuration = 3 * time.Second
	// renewInterval allows three renewals within the validity of a grant.
	renewInterval = 900 * time.Millisecond
	// OrderTimeout limits one call to a server. A healthy server answers within milliseconds.
	OrderTimeout = 400 * time.Millisecond
	// ReleaseTimeout limits a release, which the server answers only after its running
	// requests have finished.
	ReleaseTimeout = 1500 * time.Millisecond
	// retryInterval is the wait before an order without an answer is repeated.
	retryInterval = 200 * time.Millisecond
	// maxClockDrift is how much slower than the holder's clock a server's clock may run.
	maxClockDrift = 0.02
	// expiryMargin allows for timer and scheduling delays at the holder and at the server.
	expiryMargin = 100 * time.Millisecond
	// maxOrdersInFlight limits the concurrent orders to one server. Each one occupies a
	// connection.
	maxOrdersInFlight = 2
	// maxSupersedingGrants limits the grants that are sent to a previous owner to
	// invalidate its unanswered ones. If it answers none of them, the holder waits for
	// the grant to expire.
	maxSupersedingGrants = 2
	// suspectThreshold is the number of consecutive orders without an answer after which
	// the ranges of a server are moved elsewhere.
	suspectThreshold = 3
	// suspectDuration is how long a server that does not answer is assigned no keys.
	// Within this time, its store entry is removed or it answers again.
	suspectDuration = 4 * time.Second
	// firstPlanDelay is how long the number of servers must stay unchanged before the
	// first plan is made. Servers report every second or two.
	firstPlanDelay = 1800 * time.Millisecond
	// fenceBits reserves about a million fences for each epoch.
	fenceBits = 20
	// NumKeys is the number of keys of a service.
	NumKeys = 1 << 16

	// busyUtilization is the utilization above which keys are moved off a server.
	busyUtilization = 0.7
	// minUtilizationExcess is how far the utilization of a server must exceed the average
	// before keys are moved off it, so that noise does not cause moves.
	minUtilizationExcess = 0.25
	// rateNoise is how far a rate may differ by chance, in multiples of its square root: two
	// standard deviations of an exponential average over a second.
	rateNoise = 1.41
	// minMoveRate is the lowest request rate, in requests/s, that justifies a move. Each
	// move makes its keys unavailable until their running requests have finished.
	minMoveRate = 1.0
	// dominantShare is the share of a server's requests for a single key from which on
	// only a faster server, or moving the other keys away, brings relief.
	dominantShare = 0.5
	// minSpeedup is the measured speedup from which on a key is moved to a faster
	// server. Averages of a few responses differ by chance.
	minSpeedup = 1.3
	// hotMoveMemory is how long a key that takes up most of a server is not moved again. No
	// server can carry it, and bursts last for some seconds.
	hotMoveMemory = time.Minute
	// moveCooldown is how long a range stays where it is after it was moved for load. The
	// speed of the new server under that load must be measured first, and each move
	// interrupts service for the keys.
	moveCooldown = 4 * time.Second
	// spreadUtilization is the expected utilization up to which servers are given parts of hot
	// neighbouring keys.
	spreadUtilization = 0.65
	// maxSpreadUtilization is the same for a single hot key, which cannot be divided.
	maxSpreadUtilization = 0.85
	// onsetGrowth is how much higher than measured the rate of a burst is taken for that has just
	// begun: on average, it covers half of the time between two plans.
	onsetGrowth = 2.0
	// hotKeyRate is the rate in requests/s from which on a key of an overloaded server is hot.
	hotKeyRate = 0.5
	// spreadCooldown is how long a part of hot neighbouring keys stays where it was moved. The
	// first parts of a burst that has just begun may be too large.
	spreadCooldown = time.Second
	// spreadShare is the share of the servers whose number of ranges may move at the same time
	// if hot keys are spread: they are few keys, and one server alone delays all of them.
	spreadShare = 0.25
	// rateTimeConstant is the time constant of the average of KeyRates.
	rateTimeConstant = time.Second
	// burstRatio is how far the rate of a server that is expected from the last requests must
	// exceed its average for a burst to count as one that has just begun.
	burstRatio = 1.5
	// minConcurrentMoves ranges of a service may move at the same time. Larger services
	// may move one range for every serversPerMove servers. In a fleet of 200, servers
	// that join then have keys within seconds, while nine tenths of the fleet are not disturbed.
	minConcurrentMoves = 6
	serversPerMove     = 10
	// joinLoadShare is the share of the average server load that a new server starts with.
	joinLoadShare = 0.5
	// maxRangesPerServer limits the ranges of one server, as each is renewed separately.
	maxRangesPerServer = 8
)
