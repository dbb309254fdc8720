package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

const (
	// tickInterval is how often waiting requests and due orders are examined.
	tickInterval = 50 * time.Millisecond
	// planInterval is how often the ownership of keys is planned again.
	planInterval = 250 * time.Millisecond
	// ownersPublishInterval limits how often the owners of all keys are sent to all
	// instances, which use them only while they hear nothing from the holder.
	ownersPublishInterval = time.Second
	// eventQueueSize bounds the events waiting for the event loop.
	eventQueueSize = 1024
	// storeTimeout bounds one call to the store.
	storeTimeout = 900 * time.Millisecond
	// storeRetryDelay is the wait after a failed call.
	storeRetryDelay = 300 * time.Millisecond
	// backoffFleetSize is the number of instances that the unscaled backoff is meant
	// for. In a larger fleet each instance waits longer on average, so that the fleet
	// as a whole still tries every 0.1 s.
	backoffFleetSize = 12
	// recordCleanupDelay is how long finished moves may stay in the stored record.
	recordCleanupDelay = 600 * time.Millisecond
	// timesRecordInterval is how long the record may lack service times of servers that the
	// holder has learned. They change slowly, and a successor learns them anew in seconds.
	timesRecordInterval = 20 * time.Second
	// minChangedTimes is the number of changed service times that are worth a write.
	minChangedTimes = 3
	// leaseTTL is the lifetime of the leader lease. A holder that has crashed is
	// replaced once it has expired.
	leaseTTL = 2 * time.Second
	// keyCheckInterval is how often a holder looks whether another program has changed or
	// deleted its key. Until it has, no instance can join, and another one may become a holder
	// as well while this one has its lease. The interval, the call and the last grant before its
	// answer end before the successor stops waiting (inheritedGrantsTimeout).
	keyCheckInterval = 2 * time.Second
	// unreadableKeyTimeout is how long an instance waits for the holder to repair its key
	// before it takes the holder for ended: several checks.
	unreadableKeyTimeout = 7 * time.Second
	// leaseRenewInterval leaves time for two more attempts before the lease expires.
	leaseRenewInterval = 650 * time.Millisecond
	// eraCheckInterval is how often a holder looks whether the store has come back in another
	// era. Followers that read the store may stand for election within 0.2 s.
	eraCheckInterval = 50 * time.Millisecond
	// eraEntryTime is how long followers leave the holder to take its key in a new era: a read
	// that notices the era, and the calls for the key and the record.
	eraEntryTime = 1500 * time.Millisecond
	// maxStoreOutage is how long a holder continues to renew grants while the store
	// is unreachable.
	maxStoreOutage = 15 * time.Second
	// outageGrantDuration is the duration of grants during a store outage, when no
	// successor can be elected.
	outageGrantDuration = 6 * time.Second
	// followerReadDelay is the age of the last store read after which a follower
	// reads the store in place of the holder. It is longer than the holder's own read
	// interval plus one slow response, and short enough for changes that must be known
	// everywhere within two seconds. followerReadJitter lets one follower go first.
	followerReadDelay  = 1050 * time.Millisecond
	followerReadJitter = 250 * time.Millisecond
	// followerQuorumAfter is how long the store may be unreachable before the holder
	// needs most of the fleet to continue.
	followerQuorumAfter = 2500 * time.Millisecond
	// proofsAfter is how long the store may be unreachable before the holder asks its
	// followers to prove that they follow it: early enough for several answers before it
	// needs them.
	proofsAfter = time.Second
	// inheritedGrantsTimeout is how long grants of earlier holders remain valid after
	// enough of the fleet has joined a successor. An earlier holder counts the proofs of
	// its followers for a while, and its last grants may have the duration used during an
	// outage. The last term allows for slow clocks and delays of timers.
	inheritedGrantsTimeout = quorum.ProofValidity + owners.OrderTimeout + outageGrantDuration + 300*time.Millisecond
	// orderDeliveryTimeout is how long the kernel may send an order again that is not
	// acknowledged: it does so once, 200 ms and a round trip after the first time.
	orderDeliveryTimeout = 230 * time.Millisecond
	// orderSendTimeout is how long after its making an order may be written, so that it is
	// delivered within its timeout even by a process that is stopped after the write.
	orderSendTimeout = owners.OrderTimeout - orderDeliveryTimeout
	// maxAnnouncedContents bounds the request contents that one heartbeat tells of, which
	// takes a few KB for each follower.
	maxAnnouncedContents = 64
	// fleetRecordDelay is how long the followers must differ from the fleet in the record
	// before the record is written for that alone. Restarted instances are back sooner.
	fleetRecordDelay = 3 * time.Second
	// maxTickGap is the time between two ticks above which the process is taken to have
	// been suspended, so that its tenure must be confirmed again.
	maxTickGap = 700 * time.Millisecond
	// maxInheritedGrant is how long a grant of an earlier holder may remain valid after
	// that holder has ended: the longest grant duration plus slow clocks and one call.
	maxInheritedGrant = 7 * time.Second
	// maxElectionDelay is how long a machine with a processor share of 0 would wait
	// before it becomes a candidate. The strongest machine of the fleet does not wait.
	// As the holder decides for the whole fleet, a strong machine should win even if it
	// notices the expired key later by one store call and one connection attempt.
	maxElectionDelay = 900 * time.Millisecond
	// candidacyCheckInterval is how often an instance that waits before it becomes a
	// candidate looks for another holder: strong machines are elected within it.
	candidacyCheckInterval = 150 * time.Millisecond
	// maxElectionDelayUnknownShares replaces maxElectionDelay while the processor shares
	// of the other machines are unknown. All of them may be equally weak, and then no
	// instance should wait long.
	maxElectionDelayUnknownShares = 120 * time.Millisecond
	// yieldShareRatio is how many times the processor share of the holder a follower must
	// have before the holder yields: a change of holder loses the requests of some 100 ms.
	yieldShareRatio = 2.0
	// yieldDelay gives followers time to join before the holder may yield.
	yieldDelay = time.Second
	// yieldCooldown keeps weak machines from yielding one after another to a strong one
	// that cannot become the holder.
	yieldCooldown = 15 * time.Second
	// rejectedJoinDelay is the wait before an instance tries again to join a new holder
	// that already has its key but has not claimed the record, which takes one or two
	// calls to the store.
	rejectedJoinDelay = 40 * time.Millisecond
	// maxRejectedJoins is the number of attempts to join before the store is read again.
	maxRejectedJoins = 4
	// probeAfterReadAge is the age of the last store read, by the holder or a follower,
	// after which servers are probed directly. It is a little longer than it takes a
	// follower to read the store.
	probeAfterReadAge = 1500 * time.Millisecond
	// probeInterval is the pause between two rounds of probes. A server with a cold
	// capacity of 5 requests/s may receive 13 in its first second after a restart,
	// while a warm and fast one runs 20 per second.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds one probe. A healthy server responds within milliseconds.
	probeTimeout = 300 * time.Millisecond
	// maxProbes bounds the probes under way, each of which may open a connection.
	maxProbes = 512
	// probeCapacityRatio is how many times its cold rate the estimated capacity of a server
	// must exceed for the server to be probed. The estimate averages over its last
	// responses: a server may run twice as many requests at the moment.
	probeCapacityRatio = 1.0
	// holderWatchTimeout bounds the wait for a change of the key of an unreachable
	// holder. After it, the address of the holder is tried again.
	holderWatchTimeout = 700 * time.Millisecond
	// electionJitter spreads candidates with the same processor share.
	electionJitter = 60 * time.Millisecond
	// firstElectionDelay and firstElectionJitter are used instead when the whole fleet
	// starts, since its instances start in any order within a few tenths of a second.
	firstElectionDelay  = 700 * time.Millisecond
	firstElectionJitter = 200 * time.Millisecond
)

// Keys in the store.
const (
	// KeyHolder contains the identity of the holder. It is bound to the holder's lease.
	KeyHolder = "peridotmoor/holder"
	// KeyRecord contains the record of key owners.
	KeyRecord = "peridotmoor/owners"
)
