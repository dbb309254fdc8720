package publish

import "time"

const (
	// callTimeout limits one exchange. A round trip between failure domains takes 3 ms; the
	// rest allows for the transfer of a settings value of 1 MB.
	callTimeout = time.Second
	// startupInterval is the interval between exchanges until settings are in effect.
	startupInterval = 250 * time.Millisecond
	// peerResponseTimeout is how long a starting instance waits for listed peers that do not
	// respond before it reads the store. A peer that becomes reachable later could have a newer
	// version than a restored store.
	peerResponseTimeout = 3 * time.Second
	// minStoreReadInterval is the minimum delay between store reads of a starting instance.
	minStoreReadInterval = 2 * time.Second
	// startupPeers is the number of peers that a starting instance asks per round.
	startupPeers = 3
	// intervalJitter is the fraction by which the exchange interval varies, so that instances
	// that start together do not exchange at the same times.
	intervalJitter = 0.1

	// watcherLeaseTTL is the time to live of the watcher's lease in a failure domain.
	watcherLeaseTTL = 3 * time.Second
	// watcherRenewInterval leaves time for two further attempts before the lease expires.
	watcherRenewInterval = time.Second
	// meanAttemptInterval is the mean time between attempts to become the watcher, taken over
	// all instances of a failure domain. Each instance waits longer the more instances there
	// are, so that the store calls do not grow with the fleet.
	meanAttemptInterval = time.Second
	// watchTimeout limits one watch. After a restore the store has lower revisions, which a
	// watch from a higher revision never reports; the read that follows the timeout finds them.
	watchTimeout = 10 * time.Second
	// storeTimeout limits all other store calls, which normally take milliseconds.
	storeTimeout = 2 * time.Second
	// meanStoreRetryDelay is the mean delay after a failed store call.
	meanStoreRetryDelay = 500 * time.Millisecond
	// confirmDelay is the time between the two reads that confirm that the store holds an older
	// version.
	confirmDelay = time.Second
)
