package holder

import "time"

const (
	// tickEvery is how often waiting requests and due orders are looked at.
	tickEvery = 50 * time.Millisecond
	// planEvery is how often the owners of keys are planned anew.
	planEvery = 250 * time.Millisecond
	// publishEvery bounds how often all owners are sent to all instances, which
	// use them only while the holder is silent.
	publishEvery = time.Second
	// eventQueue bounds the events that wait for the holder's goroutine.
	eventQueue = 1024
	// storeTimeout bounds one call to the store.
	storeTimeout = 900 * time.Millisecond
	// storeRetry is the wait after a failed call.
	storeRetry = 300 * time.Millisecond
	// instancesPerTry is the fleet for which backoff is meant. In a larger one each
	// instance waits longer, and one of them still tries every 0.1 s.
	instancesPerTry = 12
	// cleanAfter is how long finished moves may stay in the stored record.
	cleanAfter = 600 * time.Millisecond
	// leaseFor is the lifetime of the holder's lease; a dead holder is replaced after it.
	leaseFor = 2 * time.Second
	// renewEvery leaves two further tries within the lease.
	renewEvery = 650 * time.Millisecond
	// withoutStore is how long a holder goes on renewing grants without the store.
	withoutStore = 15 * time.Second
	// holdWithoutStore is the length of grants while no successor can be elected.
	holdWithoutStore = 6 * time.Second
	// readAfter without a reading by the holder, a follower reads the store in its
	// place: later than the holder's own pause and a slow answer, and early enough
	// for what must be known everywhere within two seconds. readJitter lets one
	// follower go first.
	readAfter  = 1050 * time.Millisecond
	readJitter = 250 * time.Millisecond
	// aloneAfter without the store, a holder goes on only with most of its followers.
	aloneAfter = 2500 * time.Millisecond
	// keptShare of the followers must stay, and joinedShare is enough for a
	// successor: the two cannot be reached at the same time.
	keptShare   = 0.6
	joinedShare = 0.45
	// foreignEnd is how long the grants of an earlier holder last after a successor
	// has joinedShare: that holder notices the loss of its links within 1.5 s, and
	// its last grants may be those of an outage; slow clocks are included.
	foreignEnd = 1500*time.Millisecond + holdWithoutStore + 300*time.Millisecond
	// frozenAfter without a tick the process has been standing still, and its
	// tenure must be proved again.
	frozenAfter = 700 * time.Millisecond
	// longestForeignHold is how long a grant of an earlier holder may last after
	// that holder's end: its longest hold, slow clocks and one call included.
	longestForeignHold = 7 * time.Second
	// electionDelay is how long a machine without any processor would wait before
	// it becomes a candidate; the strongest of the fleet does not wait. The holder
	// decides for all, so a strong machine should win, also one that sees the key
	// lapse a call and a connection later.
	electionDelay = 900 * time.Millisecond
	// unknownDelay is the same while nothing is known of the others' strength: all
	// may be equally weak, and nobody should wait long.
	unknownDelay = 120 * time.Millisecond
	// yieldRatio is how much stronger a follower must be before a holder ends its
	// tenure for it; a change of holder costs the requests of some 100 ms.
	yieldRatio = 2.0
	// yieldAfter is how long followers have to join before that is decided.
	yieldAfter = time.Second
	// yieldRest keeps weak machines from yielding one after the other to strong ones
	// that cannot become the holder.
	yieldRest = 15 * time.Second
	// turnedAwayRetry is the wait before an instance asks a new holder again that
	// has its key but has not claimed the record yet: a call to the store or two.
	turnedAwayRetry = 40 * time.Millisecond
	// turnedAwayTries are made before the store is read again.
	turnedAwayTries = 4
	// probeAfter without a reading of the store, by the holder or a follower, servers
	// are asked themselves: a little later than the followers' own readings.
	probeAfter = 1500 * time.Millisecond
	// probeEvery is the pause between two rounds. A server that bears 5 requests/s
	// may get 13 in its first cold second, and a fast one runs 20 a second.
	probeEvery = 300 * time.Millisecond
	// probeTimeout bounds one question; a sound server answers in milliseconds.
	probeTimeout = 300 * time.Millisecond
	// probeRatio times its cold rate, a server must run more to be asked.
	probeRatio = 2.0
	// watchFor bounds the wait for a change of a silent holder's key; then its
	// address is tried again.
	watchFor = 700 * time.Millisecond
	// electionJitter spreads candidates of the same strength.
	electionJitter = 60 * time.Millisecond
	// firstDelay and firstJitter are the same when a fleet starts as a whole, in
	// any order within some tenths of a second.
	firstDelay  = 700 * time.Millisecond
	firstJitter = 200 * time.Millisecond
)

// Keys in the store.
const (
	// KeyHolder names the holder; it lives as long as the holder's lease.
	KeyHolder = "peridotmoor/holder"
	// KeyRecord holds the record of owners.
	KeyRecord = "peridotmoor/owners"
)
