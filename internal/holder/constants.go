package holder

import "time"

const (
	// tickInterval is how often waiting requests and due orders are looked at.
	tickInterval = 50 * time.Millisecond
	// planInterval is how often the owners of keys are planned anew.
	planInterval = 250 * time.Millisecond
	// ownersPublishInterval bounds how often all owners are sent to all instances, which
	// use them only while the holder is silent.
	ownersPublishInterval = time.Second
	// eventQueueSize bounds the events that wait for the holder's goroutine.
	eventQueueSize = 1024
	// storeTimeout bounds one call to the store.
	storeTimeout = 900 * time.Millisecond
	// storeRetryDelay is the wait after a failed call.
	storeRetryDelay = 300 * time.Millisecond
	// backoffFleetSize is the fleet for which backoff is meant. In a larger one each
	// instance waits longer, and one of them still tries every 0.1 s.
	backoffFleetSize = 12
	// recordCleanupDelay is how long finished moves may stay in the stored record.
	recordCleanupDelay = 600 * time.Millisecond
	// leaseTTL is the lifetime of the holder's lease; a dead holder is replaced after it.
	leaseTTL = 2 * time.Second
	// leaseRenewInterval leaves two further tries within the lease.
	leaseRenewInterval = 650 * time.Millisecond
	// maxStoreOutage is how long a holder goes on renewing grants without the store.
	maxStoreOutage = 15 * time.Second
	// outageGrantDuration is the length of grants while no successor can be elected.
	outageGrantDuration = 6 * time.Second
	// followerReadDelay without a reading by the holder, a follower reads the store in its
	// place: later than the holder's own pause and a slow answer, and early enough
	// for what must be known everywhere within two seconds. readJitter lets one
	// follower go first.
	followerReadDelay  = 1050 * time.Millisecond
	followerReadJitter = 250 * time.Millisecond
	// followerQuorumAfter without the store, a holder goes on only with most of its followers.
	followerQuorumAfter = 2500 * time.Millisecond
	// retainedFollowerShare of the followers must stay, and joinedShare is enough for a
	// successor: the two cannot be reached at the same time.
	retainedFollowerShare   = 0.6
	joinedFollowerShare = 0.45
	// inheritedGrantsTimeout is how long the grants of an earlier holder last after a successor
	// has joinedShare: that holder notices the loss of its links within 1.5 s, and
	// its last grants may be those of an outage; slow clocks are included.
	inheritedGrantsTimeout = 1500*time.Millisecond + outageGrantDuration + 300*time.Millisecond
	// maxTickGap without a tick the process has been standing still, and its
	// tenure must be proved again.
	maxTickGap = 700 * time.Millisecond
	// maxInheritedGrant is how long a grant of an earlier holder may last after
	// that holder's end: its longest hold, slow clocks and one call included.
	maxInheritedGrant = 7 * time.Second
	// maxElectionDelay is how long a machine without any processor would wait before
	// it becomes a candidate; the strongest of the fleet does not wait. The holder
	// decides for all, so a strong machine should win, also one that sees the key
	// lapse a call and a connection later.
	maxElectionDelay = 900 * time.Millisecond
	// maxElectionDelayUnknownShares is the same while nothing is known of the others' strength: all
	// may be equally weak, and nobody should wait long.
	maxElectionDelayUnknownShares = 120 * time.Millisecond
	// yieldShareRatio is how much stronger a follower must be before a holder ends its
	// tenure for it; a change of holder costs the requests of some 100 ms.
	yieldShareRatio = 2.0
	// yieldDelay is how long followers have to join before that is decided.
	yieldDelay = time.Second
	// yieldCooldown keeps weak machines from yielding one after the other to strong ones
	// that cannot become the holder.
	yieldCooldown = 15 * time.Second
	// rejectedJoinDelay is the wait before an instance asks a new holder again that
	// has its key but has not claimed the record yet: a call to the store or two.
	rejectedJoinDelay = 40 * time.Millisecond
	// maxRejectedJoins are made before the store is read again.
	maxRejectedJoins = 4
	// probeAfterReadAge without a reading of the store, by the holder or a follower, servers
	// are asked themselves: a little later than the followers' own readings.
	probeAfterReadAge = 1500 * time.Millisecond
	// probeInterval is the pause between two rounds. A server that bears 5 requests/s
	// may get 13 in its first cold second, and a fast one runs 20 a second.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds one question; a sound server answers in milliseconds.
	probeTimeout = 300 * time.Millisecond
	// probeCapacityRatio times its cold rate, a server must run more to be asked.
	probeCapacityRatio = 2.0
	// holderWatchTimeout bounds the wait for a change of a silent holder's key; then its
	// address is tried again.
	holderWatchTimeout = 700 * time.Millisecond
	// electionJitter spreads candidates of the same strength.
	electionJitter = 60 * time.Millisecond
	// firstElectionDelay and firstJitter are the same when a fleet starts as a whole, in
	// any order within some tenths of a second.
	firstElectionDelay  = 700 * time.Millisecond
	firstElectionJitter = 200 * time.Millisecond
)

// Keys in the store.
const (
	// KeyHolder names the holder; it lives as long as the holder's lease.
	KeyHolder = "peridotmoor/holder"
	// KeyRecord holds the record of owners.
	KeyRecord = "peridotmoor/owners"
)
